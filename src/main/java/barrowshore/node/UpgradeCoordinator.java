package barrowshore.node;

import barrowshore.status.ServiceState;
import barrowshore.upgrade.UpgradeLink;
import java.lang.System.Logger.Level;
import java.nio.file.Path;
import java.util.concurrent.Executor;

/**
 * Coordinates the old and the new process of a scheduler while both run during an upgrade: they share the scheduler's
 * limits and pass on the operators' drain orders, and the new one announces when it serves. It owns the
 * {@link UpgradeLink}, in whose mailbox its callbacks run. Neither process ever waits for the other.
 */
final class UpgradeCoordinator implements UpgradeLink.Listener {
    private static final System.Logger LOG = System.getLogger("barrowshore.node.Succession");
    /** Lines of the link's protocol: clients are sent away, clients are accepted again, this process serves. */
    private static final String AWAY = "away", BACK = "back", SERVING = "serving";

    /** The scheduler of this process. */
    interface Host {
        ServiceState serviceState();

        /** Drains or activates this process, by an order that the other process received. */
        void applyDrain(boolean drain);

        /** Sets whether this process shares the scheduler's limits with a second one. */
        void shareLimits(boolean twoProcesses);

        /** Sets whether the successor serves clients. */
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

    /** Whether an older process was running when this one started. */
    boolean hasPredecessor() {
        return link.foundPredecessor();
    }

    void start() {
        link.start();
    }

    /** Tells the predecessor that this process listens to clients from now on. */
    void announceServing() {
        link.send(true, SERVING);
    }

    /** Passes on an order that this process received from the operators. */
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
            default -> {} // lines that a later version may add
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
