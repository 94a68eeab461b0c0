package barrowshore.node;

import barrowshore.list.ServerList.ZoneKindNames;
import barrowshore.list.ServerListMessage;
import barrowshore.status.ServiceState;
import barrowshore.upgrade.IdMessage;
import barrowshore.upgrade.OtherProcess;
import barrowshore.upgrade.SavedServerList;
import barrowshore.upgrade.UpgradeLink;
import java.lang.System.Logger.Level;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.Consumer;

/**
 * Coordinates the old and the new process of a scheduler while both run during an upgrade: they share the scheduler's
 * limits, tell each other the ids of their requests and what they know of the server list, pass on the operators' drain
 * orders, and the new one announces when it serves. It owns the {@link UpgradeLink}, in whose mailbox its callbacks run, and
 * the {@link SavedServerList}, which a new process reads too, since the older one may hang or have died.
 */
final class UpgradeCoordinator implements UpgradeLink.Listener {
    private static final System.Logger LOG = System.getLogger("barrowshore.node.Succession");
    /** Lines of the link's protocol: clients are sent away, clients are accepted again, this process serves. */
    private static final String AWAY = "away", BACK = "back", SERVING = "serving";
    /** The first word of a line with a {@link ServerListMessage}. */
    private static final String SERVER_LIST = "list";
    /** The file of the saved server list is named after the link's socket. */
    private static final String SAVED_LIST_SUFFIX = ".list";

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

        /** Receives what the other process tells of the server list. */
        void serverListReceived(OtherProcess from, ServerListMessage message);

        /** Passes the server list known at present to the consumer, if there is any. */
        void tellWholeServerList(Consumer<ServerListMessage> consumer);
    }

    private final Host host;
    private final ZoneKindNames names;
    private final UpgradeLink link;
    private final SavedServerList savedServerList;
    private volatile boolean predecessorAlive;
    private volatile boolean successorAlive;

    UpgradeCoordinator(Path socketFile, ZoneKindNames names, Executor pool, Host host) {
        this.host = host;
        this.names = names;
        this.link = new UpgradeLink(socketFile, pool, this);
        this.savedServerList = new SavedServerList(
                socketFile.resolveSibling(socketFile.getFileName() + SAVED_LIST_SUFFIX),
                names,
                pool,
                host::tellWholeServerList);
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

    /** The server list as the last process saved it, in parts; empty if there is none. */
    List<ServerListMessage> readSavedServerList() {
        return savedServerList.read();
    }

    /** Saves what discovery has told this process, and tells it to all other processes. */
    void publishServerList(ServerListMessage message) {
        savedServerList.update(message);
        if (predecessorAlive || successorAlive) {
            sendServerList(OtherProcess.PREDECESSOR, message);
            sendServerList(OtherProcess.SUCCESSOR, message);
        }
    }

    /** Tells another process, if it is there, what this one knows of the server list. */
    private void sendServerList(OtherProcess to, ServerListMessage message) {
        link.sendServerList(to == OtherProcess.PREDECESSOR, SERVER_LIST + " " + message.toJson(names));
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
        host.tellWholeServerList(message -> sendServerList(OtherProcess.SUCCESSOR, message));
        host.otherProcessConnected(OtherProcess.SUCCESSOR);
        if (!host.serviceState().acceptsClients()) {
            link.send(false, AWAY, false);
        }
    }

    @Override
    public void lineReceived(boolean fromPredecessor, String line) {
        OtherProcess from = fromPredecessor ? OtherProcess.PREDECESSOR : OtherProcess.SUCCESSOR;
        Optional<IdMessage> idMessage = IdMessage.parse(line);
        if (idMessage.isPresent()) {
            host.idMessageReceived(from, idMessage.get());
            return;
        }
        String[] words = line.split(" ", 2);
        switch (words[0]) {
            case AWAY -> host.applyDrain(true);
            case BACK -> host.applyDrain(false);
            case SERVING -> {
                if (!fromPredecessor) {
                    host.setSuccessorServing(true);
                }
            }
            case SERVER_LIST -> receiveServerList(from, words[words.length - 1]);
            default -> {} // lines that a later version may add
        }
    }

    private void receiveServerList(OtherProcess from, String json) {
        ServerListMessage message;
        try {
            message = ServerListMessage.parse(json, names);
        } catch (IllegalArgumentException e) {
            LOG.log(Level.WARNING, "the other process told a server list that cannot be read: {0}", e.getMessage());
            return;
        }
        host.serverListReceived(from, message);
        savedServerList.update(message);
        sendServerList(from == OtherProcess.PREDECESSOR ? OtherProcess.SUCCESSOR : OtherProcess.PREDECESSOR, message);
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
            savedServerList.rewrite(); // the successor may have replaced the file, and known less
            host.setSuccessorServing(false);
        }
    }

    void stop() {
        savedServerList.stop();
        link.stop();
    }
}
