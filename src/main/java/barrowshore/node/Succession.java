package barrowshore.node;

import barrowshore.status.ServiceState;
import barrowshore.upgrade.UpgradeLink;
import java.lang.System.Logger.Level;
import java.nio.file.Path;
import java.util.concurrent.Executor;

/**
 * What two processes of one scheduler owe each other while both are there: who speaks to clients and peers, what each
 * may use of what the scheduler has, and what the later one is told. It owns the twin's link and nothing else; all of it
 * runs in the twin's mailbox. It must never make a process wait for the other.
 */
final class Succession implements UpgradeLink.Listener {
    private static final System.Logger LOG = System.getLogger("barrowshore.node.Succession");
    private static final String AWAY = "away", BACK = "back", SERVING = "serving";

    /** What it moves in its own process. */
    interface Host {
        ServiceState standing();

        /** The operators' order came by the other process. */
        void follow(boolean away);

        /** Whether there are two processes that share what the scheduler has. */
        void shared(boolean two);

        /** Whether the process after us serves. */
        void followed(boolean serving);
    }

    private final Host host;
    private final UpgradeLink twin;
    private boolean beforeThere;
    private boolean afterThere;

    Succession(Path file, Executor pool, Host host) {
        this.host = host;
        this.twin = new UpgradeLink(file, pool, this);
        this.beforeThere = twin.foundPredecessor();
    }

    /** Whether this process follows another that is still there. */
    boolean follows() {
        return twin.foundPredecessor();
    }

    void start() {
        twin.start();
    }

    /** We listen to clients from now on. */
    void serving() {
        twin.send(true, SERVING);
    }

    /** The operators' order came by us. */
    void ordered(boolean away) {
        twin.send(true, away ? AWAY : BACK);
        twin.send(false, away ? AWAY : BACK);
    }

    @Override
    public void successorConnected() {
        LOG.log(Level.INFO, "a new version has come up beside this one");
        afterThere = true;
        host.shared(true);
        if (!host.standing().acceptsClients()) {
            twin.send(false, AWAY);
        }
    }

    @Override
    public void lineReceived(boolean before, String line) {
        switch (line.split(" ", 2)[0]) {
            case AWAY -> host.follow(true);
            case BACK -> host.follow(false);
            case SERVING -> {
                if (!before) {
                    host.followed(true);
                }
            }
            default -> {} // a later version may say more
        }
    }

    @Override
    public void linkClosed(boolean before) {
        LOG.log(
                Level.INFO,
                before ? "the version before this one has ended" : "the new version beside this one has ended");
        beforeThere &= !before;
        afterThere &= before;
        host.shared(beforeThere || afterThere);
        if (!before) {
            host.followed(false);
        }
    }

    void stop() {
        twin.stop();
    }
}
