package barrowshore.wire;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;

/**
 * Reads lines of the simulator's protocol from a stream, and the fields of a line, which single spaces separate. Integers
 * are parsed in the buffer, without allocation. Errors name the line.
 */
final class LineReader {
    private final InputStream in;
    private byte[] buffer = new byte[1 << 16];
    private int filledBytes;
    private int nextLineStart;
    /** The start of the next field of the current line. */
    private int position;

    private int lineEnd;
    private long lineNumber;

    LineReader(InputStream in) {
        this.in = in;
    }

    /** Moves to the next line; false at the end of the input. The buffer grows to hold the longest line. */
    boolean advance() throws IOException {
        int lineStart = nextLineStart, scan = nextLineStart;
        while (true) {
            while (scan < filledBytes && buffer[scan] != '\n') {
                scan++;
            }
            if (scan < filledBytes) {
                break;
            }
            if (lineStart > 0) {
                System.arraycopy(buffer, lineStart, buffer, 0, filledBytes - lineStart);
                filledBytes -= lineStart;
                scan -= lineStart;
                lineStart = 0;
            }
            if (filledBytes == buffer.length) {
                buffer = java.util.Arrays.copyOf(buffer, 2 * buffer.length);
            }
            int readBytes = in.read(buffer, filledBytes, buffer.length - filledBytes);
            if (readBytes < 0) {
                if (filledBytes > 0) {
                    lineNumber++;
                    throw error("the line is cut off");
                }
                return false;
            }
            filledBytes += readBytes;
        }
        position = lineStart;
        lineEnd = scan;
        nextLineStart = scan + 1;
        lineNumber++;
        return true;
    }

    /** An exception that names the current line and the error. */
    WireException error(String what) {
        return new WireException("line " + lineNumber + ": " + what);
    }

    /** The index after the current field; a missing or empty field is an error. */
    private int findFieldEnd(String name) {
        if (position > lineEnd || position == lineEnd && name != null) {
            throw error("the field '" + name + "' is missing");
        }
        int fieldEnd = position;
        while (fieldEnd < lineEnd && buffer[fieldEnd] != ' ') {
            fieldEnd++;
        }
        if (fieldEnd == position) {
            throw error("the field '" + name + "' is empty");
        }
        return fieldEnd;
    }

    /** Reads a field as text. */
    String readText(String name) {
        int fieldEnd = findFieldEnd(name);
        String value = new String(buffer, position, fieldEnd - position, StandardCharsets.UTF_8);
        position = fieldEnd + 1;
        return value;
    }

    /** Reads the rest of the line. */
    String readRest() {
        String value =
                position >= lineEnd ? "" : new String(buffer, position, lineEnd - position, StandardCharsets.UTF_8);
        position = lineEnd + 1;
        return value;
    }

    /** Skips a field, which must be there. */
    void skipField(String name) {
        position = findFieldEnd(name) + 1;
    }

    /** Reads an integer; "-" is 0. */
    long readInteger(String name) {
        int fieldEnd = findFieldEnd(name);
        if (fieldEnd - position == 1 && buffer[position] == '-') {
            position = fieldEnd + 1;
            return 0;
        }
        boolean negative = buffer[position] == '-';
        long value = 0;
        for (int i = negative ? position + 1 : position; i < fieldEnd; i++) {
            int digit = buffer[i] - '0';
            if (digit < 0 || digit > 9 || i - position > 19) {
                return (long) readDecimal(name);
            }
            value = value * 10 + digit;
        }
        position = fieldEnd + 1;
        return negative ? -value : value;
    }

    /** Reads a decimal number; "-" is 0. */
    double readDecimal(String name) {
        String value = readText(name);
        if (value.equals("-")) {
            return 0;
        }
        try {
            return Double.parseDouble(value);
        } catch (NumberFormatException e) {
            throw error("the field '" + name + "' is not a number: " + value);
        }
    }
}
