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
final class UpgradeCoordinator implements UpgradeLink.Listener {
    private static final System.Logger LOG = System.getLogger("barrowshore.node.Succession");
    private static final String AWAY = "away", BACK = "back", SERVING = "serving";

    /** What it moves in its own process. */
    interface Host {
        ServiceState serviceState();

        /** The operators' order came by the other process. */
        void applyDrain(boolean drain);

        /** Whether there are two processes that share what the scheduler has. */
        void shareLimits(boolean twoProcesses);

        /** Whether the process after us serves. */
        void setSuccessorServing(boolean serving);
    }

    private final Host host;
    private final UpgradeLink link;
    private boolean predecessorAlive;
    private boolean successorAlive;

    UpgradeCoordinator(Path socketFile, Executor pool, Host host) {
        this.host = host;
        this.link = new UpgradeLink(socketFile, pool, this);
        this.predecessorAlive = link.foundPredecessor();
    }

    /** Whether this process follows another that is still there. */
    boolean hasPredecessor() {
        return link.foundPredecessor();
    }

    void start() {
        link.start();
    }

    /** We listen to clients from now on. */
    void announceServing() {
        link.send(true, SERVING);
    }

    /** The operators' order came by us. */
    void announceDrain(boolean drain) {
        link.send(true, drain ? AWAY : BACK);
        link.send(false, drain ? AWAY : BACK);
    }

    @Override
    public void successorConnected() {
        LOG.log(Level.INFO, "a new version has come up beside this one");
        successorAlive = true;
        host.shareLimits(true);
        if (!host.serviceState().acceptsClients()) {
            link.send(false, AWAY);
        }
    }

    @Override
    public void lineReceived(boolean fromPredecessor, String line) {
        switch (line.split(" ", 2)[0]) {
            case AWAY -> host.applyDrain(true);
            case BACK -> host.applyDrain(false);
            case SERVING -> {
                if (!fromPredecessor) {
                    host.setSuccessorServing(true);
                }
            }
            default -> {} // a later version may say more
        }
    }

    @Override
    public void linkClosed(boolean toPredecessor) {
        LOG.log(
                Level.INFO,
                toPredecessor ? "the version before this one has ended" : "the new version beside this one has ended");
        predecessorAlive &= !toPredecessor;
        successorAlive &= toPredecessor;
        host.shareLimits(predecessorAlive || successorAlive);
        if (!toPredecessor) {
            host.setSuccessorServing(false);
        }
    }

    void stop() {
        link.stop();
    }
}
