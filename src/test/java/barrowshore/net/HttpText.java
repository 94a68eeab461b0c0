package barrowshore.net;

import java.io.IOException;
import java.io.InputStream;

/** Reads HTTP messages as text, for scripted peers in tests. */
public final class HttpText {
    private HttpText() {}

    /** Reads up to the first CR and returns the line without it, or what came before the end of the stream. */
    public static String firstLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int b = in.read(); b >= 0 && b != '\r'; b = in.read()) {
            line.append((char) b);
        }
        return line.toString();
    }

    /** Reads a message head including the empty line, or what came before the end of the stream. */
    public static String head(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        for (int b = in.read(); b >= 0; b = in.read()) {
            head.append((char) b);
            if (head.length() >= 4 && head.substring(head.length() - 4).equals("\r\n\r\n")) {
                break;
            }
        }
        return head.toString();
    }
}
