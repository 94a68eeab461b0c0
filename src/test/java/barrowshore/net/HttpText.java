package barrowshore.net;

import java.io.IOException;
import java.io.InputStream;

/** Reads the text of HTTP messages as a scripted peer gets them. */
public final class HttpText {
    private HttpText() {}

    /** The first line, up to its CR, which is read too; what came if the stream ends before. */
    public static String firstLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int b = in.read(); b >= 0 && b != '\r'; b = in.read()) {
            line.append((char) b);
        }
        return line.toString();
    }

    /** The head of a message with the empty line after it; what came if the stream ends before. */
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
