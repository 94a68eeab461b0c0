package barrowshore.upgrade;

import barrowshore.net.Mailbox;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.lang.System.Logger.Level;
import java.net.StandardProtocolFamily;
import java.net.UnixDomainSocketAddress;
import java.nio.channels.Channels;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Executor;

/**
 * The link between the old and the new process of an upgrade: lines of text over a Unix socket in a shared directory. An
 * actor that owns the socket file and its listener, the connections to the predecessor and the successor process, and the
 * threads that read them. A socket file without a listening process is stale and is replaced. Failures never keep a
 * scheduler from starting or serving: without the link the processes only know less about each other.
 */
public final class UpgradeLink {
    private static final System.Logger LOG = System.getLogger("barrowshore.upgrade.Twin");

    /** Receives events of the link; called in this actor's mailbox. */
    public interface Listener {
        /** A line has come from the predecessor, or else from the successor. */
        void lineReceived(boolean fromPredecessor, String line);

        /** A successor has connected and expects this process's state. */
        void successorConnected();

        /** The connection has closed, almost always because its process has ended. */
        void linkClosed(boolean toPredecessor);
    }

    private final Path socketFile;
    private final Mailbox mailbox;
    private final Listener listener;
    private ServerSocketChannel server;
    private SocketChannel predecessor;
    private SocketChannel successor;
    private LineWriter predecessorWriter;
    private LineWriter successorWriter;

    /** Connects to the predecessor, if there is one; {@link #start} begins to read from it and to accept a successor. */
    public UpgradeLink(Path socketFile, Executor pool, Listener listener) {
        this.socketFile = socketFile;
        this.listener = listener;
        this.mailbox = new Mailbox("the upgrade link", pool);
        this.predecessor = connectToPredecessor();
        this.predecessorWriter = predecessor == null ? null : new LineWriter(predecessor);
    }

    /** Whether a predecessor was running when this process started. */
    public boolean foundPredecessor() {
        return predecessor != null;
    }

    private SocketChannel connectToPredecessor() {
        SocketChannel channel = null;
        try {
            channel = SocketChannel.open(StandardProtocolFamily.UNIX);
            channel.connect(UnixDomainSocketAddress.of(socketFile));
            return channel;
        } catch (IOException | RuntimeException e) {
            close(channel); // no predecessor, a stale socket file, or no Unix sockets on this system
            return null;
        }
    }

    /** Replaces the socket file, listens for a successor, and reads from the predecessor. */
    public void start() {
        SocketChannel existing = predecessor;
        listenForSuccessor();
        if (existing != null) {
            startReader(existing, true);
        }
    }

    private void listenForSuccessor() {
        ServerSocketChannel newServer = null;
        try {
            Files.deleteIfExists(socketFile);
            newServer = ServerSocketChannel.open(StandardProtocolFamily.UNIX);
            newServer.bind(UnixDomainSocketAddress.of(socketFile), 2);
            server = newServer;
            ServerSocketChannel listening = newServer;
            startThread("upgrade-accept", () -> {
                while (listening.isOpen()) {
                    SocketChannel channel = listening.accept();
                    mailbox.post(() -> acceptSuccessor(channel));
                }
            });
        } catch (IOException | RuntimeException e) {
            close(newServer);
            LOG.log(
                    Level.WARNING,
                    "cannot listen on the upgrade socket; a new version would start without the state of this process: {0}",
                    e.getMessage());
        }
    }

    private void acceptSuccessor(SocketChannel channel) {
        close(successor, successorWriter);
        successor = channel;
        successorWriter = new LineWriter(channel);
        startReader(channel, false);
        listener.successorConnected();
    }

    private void startReader(SocketChannel channel, boolean fromPredecessor) {
        startThread(fromPredecessor ? "upgrade-predecessor" : "upgrade-successor", () -> {
            try (BufferedReader in = new BufferedReader(
                    new InputStreamReader(Channels.newInputStream(channel), StandardCharsets.UTF_8))) {
                for (String line = in.readLine(); line != null; line = in.readLine()) {
                    String received = line;
                    mailbox.post(() -> listener.lineReceived(fromPredecessor, received));
                }
            } finally {
                mailbox.post(() -> handleDisconnect(channel, fromPredecessor));
            }
        });
    }

    private void handleDisconnect(SocketChannel channel, boolean fromPredecessor) {
        if (fromPredecessor && channel == predecessor) {
            close(predecessor, predecessorWriter);
            predecessor = null;
            predecessorWriter = null;
            listener.linkClosed(true);
        } else if (channel == successor) {
            close(successor, successorWriter);
            successor = null;
            successorWriter = null;
            // The successor had replaced the socket file with its own; listen again for the next one.
            close(server);
            listenForSuccessor();
            listener.linkClosed(false);
        } else {
            close(channel); // of a successor that another one has replaced
        }
    }

    private static void close(SocketChannel channel, LineWriter writer) {
        close(channel);
        if (writer != null) {
            writer.stop();
        }
    }

    /**
     * Sends a line to the predecessor, or else to the successor; dropped if there is no connection or it fails. optional: it
     * may be dropped also where the other process reads slowly.
     */
    public void send(boolean toPredecessor, String line, boolean optional) {
        mailbox.post(() -> {
            LineWriter target = toPredecessor ? predecessorWriter : successorWriter;
            if (target != null) {
                target.write(line, optional);
            }
        });
    }

    /** The same with what this process knows of the server list; dropped where the other process reads too slowly. */
    public void sendServerList(boolean toPredecessor, String line) {
        mailbox.post(() -> {
            LineWriter target = toPredecessor ? predecessorWriter : successorWriter;
            if (target != null) {
                target.writeLong(line);
            }
        });
    }

    private interface IoTask {
        void run() throws IOException;
    }

    private static void startThread(String name, IoTask task) {
        Thread thread = new Thread(
                () -> {
                    try {
                        task.run();
                    } catch (IOException e) {
                        LOG.log(Level.DEBUG, name + ": stopped, its socket was closed or failed", e);
                    }
                },
                name);
        thread.setDaemon(true);
        thread.start();
    }

    private static void close(java.nio.channels.Channel channel) {
        if (channel != null) {
            try {
                channel.close();
            } catch (IOException e) {
                LOG.log(Level.DEBUG, "closing a socket of the upgrade link failed", e);
            }
        }
    }

    /** Closes all connections; the socket file stays, since a successor may own it by now. */
    public void stop() {
        mailbox.post(() -> {
            close(server);
            close(predecessor, predecessorWriter);
            close(successor, successorWriter);
        });
    }
}
