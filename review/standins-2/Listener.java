import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** A listening loopback socket with a thread for each connection. */
final class Listener {
    private static final int BACKLOG = 256;

    /** Serves one connection until it ends. */
    interface Handler {
        void serve(Socket socket) throws IOException, InterruptedException;
    }

    private final ServerSocket server;

    Listener(Handler handler) throws IOException {
        server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), BACKLOG);
        start(() -> acceptAll(handler));
    }

    static void start(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    private void acceptAll(Handler handler) {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                start(() -> serve(handler, socket));
            } catch (IOException e) {
                return; // closed at the end of the run
            }
        }
    }

    private void serve(Handler handler, Socket socket) {
        try (socket) {
            handler.serve(socket);
        } catch (IOException | InterruptedException e) {
            // the other side has closed or reset the connection
        }
    }

    /** The address as configurations have it. */
    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }
}
