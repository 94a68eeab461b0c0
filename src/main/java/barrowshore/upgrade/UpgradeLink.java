package barrowshore.upgrade;

import barrowshore.net.Mailbox;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.lang.System.Logger.Level;
import java.net.StandardProtocolFamily;
import java.net.UnixDomainSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.Channels;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Executor;

/**
 * The other process of an upgrade: a line of text each over a Unix socket in the folder that both share. An actor; it owns
 * the socket's file, the listener behind it, the links to the process before and the one after, and the threads that wait
 * on them. Whoever listens there is alive: a file that a dead process left is replaced. It must never keep a scheduler from
 * starting or serving: without the link, two processes only know less of one another.
 */
public final class UpgradeLink {
    private static final System.Logger LOG = System.getLogger("barrowshore.upgrade.Twin");

    /** What is heard of the other process; called in this actor's mailbox. */
    public interface Listener {
        /** A line from the process before us (else after us). */
        void lineReceived(boolean fromPredecessor, String line);

        /** A process after us has come up and wants to know what we know. */
        void successorConnected();

        /** The link has ended, and as good as always its process. */
        void linkClosed(boolean toPredecessor);
    }

    private final Path socketFile;
    private final Mailbox mailbox;
    private final Listener listener;
    private ServerSocketChannel server;
    private SocketChannel predecessor;
    private SocketChannel successor;

    /** Looks for a process before us; {@link #start} tells of it, and lets the next one find us. */
    public UpgradeLink(Path socketFile, Executor pool, Listener listener) {
        this.socketFile = socketFile;
        this.listener = listener;
        this.mailbox = new Mailbox("the twin", pool);
        this.predecessor = connectToPredecessor();
    }

    /** Whether a process was there before us as we came up. */
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
            close(channel); // none there, or one that is dead, or no such sockets here
            return null;
        }
    }

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
            startThread("the next process", () -> {
                while (listening.isOpen()) {
                    SocketChannel channel = listening.accept();
                    mailbox.post(() -> acceptSuccessor(channel));
                }
            });
        } catch (IOException | RuntimeException e) {
            close(newServer);
            LOG.log(Level.WARNING, "a new version will not be told what we know: {0}", e.getMessage());
        }
    }

    private void acceptSuccessor(SocketChannel channel) {
        close(successor);
        successor = channel;
        startReader(channel, false);
        listener.successorConnected();
    }

    private void startReader(SocketChannel channel, boolean fromPredecessor) {
        startThread(fromPredecessor ? "the process before" : "the process after", () -> {
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
        close(channel);
        if (fromPredecessor && channel == predecessor) {
            predecessor = null;
            listener.linkClosed(true);
        } else if (channel == successor) {
            successor = null;
            // It had put its own socket in the place of ours; the next one is to find us again.
            close(server);
            listenForSuccessor();
            listener.linkClosed(false);
        }
    }

    /** Tells the other process: the one before us, or the one after. What cannot be told is lost with the link. */
    public void send(boolean toPredecessor, String line) {
        mailbox.post(() -> {
            SocketChannel target = toPredecessor ? predecessor : successor;
            if (target != null) {
                try {
                    ByteBuffer bytes = ByteBuffer.wrap((line + "\n").getBytes(StandardCharsets.UTF_8));
                    while (bytes.hasRemaining()) {
                        target.write(bytes);
                    }
                } catch (IOException e) {
                    LOG.log(Level.DEBUG, "the twin is not told", e); // its reader hears of the end
                }
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
                        LOG.log(Level.DEBUG, name + " is heard no more", e);
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
                LOG.log(Level.DEBUG, "a close failed", e);
            }
        }
    }

    /** Ends the links; the file stays to whoever has it now. */
    public void stop() {
        mailbox.post(() -> {
            close(server);
            close(predecessor);
            close(successor);
        });
    }
}
