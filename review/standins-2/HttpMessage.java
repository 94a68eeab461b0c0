import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** One HTTP/1.1 message as read from a stream: the first line, the headers by lower-case name, and the body. */
record HttpMessage(String firstLine, Map<String, String> headers, byte[] body, long firstByteMillis) {
    private static final int MAX_HEAD_BYTES = 32 * 1024;

    /** Reads one message; null if the stream ends before its first byte. */
    static HttpMessage read(InputStream in) throws IOException {
        String head = null;
        long firstByteMillis = 0;
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        while (head == null) {
            int next = in.read();
            if (next < 0) {
                if (bytes.size() == 0) {
                    return null;
                }
                throw new EOFException("the stream ended within a head");
            }
            firstByteMillis = bytes.size() == 0 ? Record.now() : firstByteMillis;
            bytes.write(next);
            if (next == '\n' && endsWithEmptyLine(bytes.toByteArray())) {
                head = bytes.toString(StandardCharsets.ISO_8859_1);
            }
            if (bytes.size() > MAX_HEAD_BYTES) {
                throw new IOException("the head is too long");
            }
        }
        String[] lines = head.split("\r\n");
        Map<String, String> headers = new TreeMap<>();
        for (int k = 1; k < lines.length; k++) {
            int colon = lines[k].indexOf(':');
            headers.put(
                    lines[k].substring(0, colon).toLowerCase(Locale.ROOT),
                    lines[k].substring(colon + 1).strip());
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new EOFException("the stream ended within a body");
        }
        return new HttpMessage(lines[0], headers, body, firstByteMillis);
    }

    private static boolean endsWithEmptyLine(byte[] bytes) {
        int n = bytes.length;
        return n >= 4 && bytes[n - 2] == '\r' && bytes[n - 3] == '\n' && bytes[n - 4] == '\r';
    }

    String method() {
        return firstLine.split(" ")[0];
    }

    String target() {
        return firstLine.split(" ")[1];
    }

    /** The status of a response. */
    int status() {
        return Integer.parseInt(firstLine.split(" ")[1]);
    }

    String text() {
        return new String(body, StandardCharsets.UTF_8);
    }
}
