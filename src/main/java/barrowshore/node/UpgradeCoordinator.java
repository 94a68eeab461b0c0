package barrowshore.node;

import barrowshore.status.ServiceState;
import barrowshore.upgrade.IdMessage;
import barrowshore.upgrade.OtherProcess;
import barrowshore.upgrade.UpgradeLink;
import java.lang.System.Logger.Level;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.Executor;

/**
 * Coordinates the old and the new process of a scheduler while both run during an upgrade: they share the scheduler's
 * limits, tell each other the ids of their requests, pass on the operators' drain orders, and the new one announces when it
 * serves. It owns the
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

        /** Another process of this scheduler is there. */
        void otherProcessConnected(OtherProcess other);

        /** The link to another process of this scheduler has closed. */
        void otherProcessEnded(OtherProcess other);

        /** Receives what the other process tells about ids of requests. */
        void idMessageReceived(OtherProcess from, IdMessage message);
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
        if (hasPredecessor()) {
            host.otherProcessConnected(OtherProcess.PREDECESSOR);
        }
        link.start();
    }

    /** Tells another process about the id of a request. */
    void sendIdMessage(OtherProcess to, IdMessage message) {
        link.send(to == OtherProcess.PREDECESSOR, message.toLine(), message.isOptional());
    }

    /** Tells the predecessor that this process listens to clients from now on. */
    void announceServing() {
        link.send(true, SERVING, false);
    }

    /** Passes on an order that this process received from the operators. */
    void announceDrain(boolean drain) {
        link.send(true, drain ? AWAY : BACK, false);
        link.send(false, drain ? AWAY : BACK, false);
    }

    @Override
    public void successorConnected() {
        LOG.log(Level.INFO, "a new version has come up beside this one");
        successorAlive = true;
        host.shareLimits(true);
        host.otherProcessConnected(OtherProcess.SUCCESSOR);
        if (!host.serviceState().acceptsClients()) {
            link.send(false, AWAY, false);
        }
    }

    @Override
    public void lineReceived(boolean fromPredecessor, String line) {
        Optional<IdMessage> idMessage = IdMessage.parse(line);
        if (idMessage.isPresent()) {
            host.idMessageReceived(
                    fromPredecessor ? OtherProcess.PREDECESSOR : OtherProcess.SUCCESSOR, idMessage.get());
            return;
        }
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
        host.otherProcessEnded(toPredecessor ? OtherProcess.PREDECESSOR : OtherProcess.SUCCESSOR);
        host.shareLimits(predecessorAlive || successorAlive);
        if (!toPredecessor) {
            host.setSuccessorServing(false);
        }
    }

    void stop() {
        link.stop();
    }
}
