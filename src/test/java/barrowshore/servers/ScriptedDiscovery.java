package barrowshore.servers;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** A service discovery on a loopback socket that a test controls call by call; it can stop and resume listening. */
public final class ScriptedDiscovery implements AutoCloseable {
    private static final int LISTEN_BACKLOG = 1;

    private final List<Socket> sockets = new ArrayList<>();
    private ServerSocket serverSocket;

    public ScriptedDiscovery() throws IOException {
        serverSocket = new ServerSocket(0, LISTEN_BACKLOG, InetAddress.getLoopbackAddress());
    }

    public InetSocketAddress address() {
        return (InetSocketAddress) serverSocket.getLocalSocketAddress();
    }

    /** Stops listening: further connections are refused, open ones stay. */
    public void refuse() throws IOException {
        serverSocket.close();
    }

    public void listenAgain() throws IOException {
        int port = serverSocket.getLocalPort();
        serverSocket = new ServerSocket();
        serverSocket.setReuseAddress(true);
        serverSocket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), LISTEN_BACKLOG);
    }

    /** Fills the accept backlog, so that further connections stay pending. */
    public void fillQueue() throws IOException {
        for (int k = 0; k <= LISTEN_BACKLOG; k++) {
            sockets.add(new Socket(serverSocket.getInetAddress(), serverSocket.getLocalPort()));
        }
    }

    public void emptyQueue() throws IOException {
        for (int k = 0; k <= LISTEN_BACKLOG; k++) {
            sockets.add(serverSocket.accept());
        }
    }

    /** Accepts a waiting connection; null if there is none. */
    public Call poll() throws IOException {
        serverSocket.setSoTimeout(1);
        try {
            Socket socket = serverSocket.accept();
            socket.setTcpNoDelay(true);
            sockets.add(socket);
            return new Call(socket);
        } catch (SocketTimeoutException e) {
            return null;
        }
    }

    @Override
    public void close() throws IOException {
        serverSocket.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }

    /** A connection from the scheduler. */
    public static final class Call {
        private final Socket socket;

        private Call(Socket socket) {
            this.socket = socket;
        }

        /** Reads a request and returns its target. */
        public String target() throws IOException {
            InputStream in = socket.getInputStream();
            StringBuilder head = new StringBuilder();
            while (head.indexOf("\r\n\r\n") < 0) {
                int b = in.read();
                if (b < 0) {
                    throw new IOException("connection ended within the request: " + head);
                }
                head.append((char) b);
            }
            return head.toString().split(" ")[1];
        }

        public void send(String bytes) throws IOException {
            socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().flush();
        }

        /** Sends the head of the answer to a watch. */
        public void beginWatch() throws IOException {
            send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        }

        public void chunk(String text) throws IOException {
            send(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
        }

        /** Answers the request for a full list. */
        public void answer(String list) throws IOException {
            send("HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list);
        }

        public void refuse(String retryAfter) throws IOException {
            send("HTTP/1.1 503 Service Unavailable\r\nRetry-After: " + retryAfter + "\r\nContent-Length: 0\r\n\r\n");
        }

        /** Waits until the scheduler has closed the connection. */
        public void awaitEnd() throws IOException {
            while (socket.getInputStream().read() >= 0) {
                continue; // skip what it had still written
            }
        }

        /** Whether the scheduler has closed the connection; it must not send anything meanwhile. */
        public boolean isEnded() {
            try {
                socket.setSoTimeout(1);
                boolean ended = socket.getInputStream().read() < 0;
                socket.setSoTimeout(0);
                return ended;
            } catch (SocketTimeoutException e) {
                return false;
            } catch (IOException e) {
                return true; // reset
            }
        }

        public void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }
}
