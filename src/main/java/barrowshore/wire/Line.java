package barrowshore.wire;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;

/** Reads the wire line by line and a line field by field, without an object for each number. */
final class Line {
    private final InputStream in;
    private byte[] buffer = new byte[1 << 16];
    private int filled;
    private int next;
    private int at;
    private int end;
    private long number;

    Line(InputStream in) {
        this.in = in;
    }

    /** Moves to the next line; false at the end of the input. */
    boolean advance() throws IOException {
        int from = next, scan = next;
        while (true) {
            while (scan < filled && buffer[scan] != '\n') {
                scan++;
            }
            if (scan < filled) {
                break;
            }
            if (from > 0) {
                System.arraycopy(buffer, from, buffer, 0, filled - from);
                filled -= from;
                scan -= from;
                from = 0;
            }
            if (filled == buffer.length) {
                buffer = java.util.Arrays.copyOf(buffer, 2 * buffer.length);
            }
            int got = in.read(buffer, filled, buffer.length - filled);
            if (got < 0) {
                if (filled > 0) {
                    number++;
                    throw wrong("the line is cut off");
                }
                return false;
            }
            filled += got;
        }
        at = from;
        end = scan;
        next = scan + 1;
        number++;
        return true;
    }

    WireException wrong(String what) {
        return new WireException("line " + number + ": " + what);
    }

    private int fieldEnd(String name) {
        if (at > end || at == end && name != null) {
            throw wrong("the field '" + name + "' is missing");
        }
        int stop = at;
        while (stop < end && buffer[stop] != ' ') {
            stop++;
        }
        if (stop == at) {
            throw wrong("the field '" + name + "' is empty");
        }
        return stop;
    }

    String text(String name) {
        int stop = fieldEnd(name);
        String s = new String(buffer, at, stop - at, StandardCharsets.UTF_8);
        at = stop + 1;
        return s;
    }

    /** The rest of the line. */
    String rest() {
        String s = at >= end ? "" : new String(buffer, at, end - at, StandardCharsets.UTF_8);
        at = end + 1;
        return s;
    }

    void skip(String name) {
        at = fieldEnd(name) + 1;
    }

    /** An integer; an absent one is 0. */
    long integer(String name) {
        int stop = fieldEnd(name);
        if (stop - at == 1 && buffer[at] == '-') {
            at = stop + 1;
            return 0;
        }
        boolean minus = buffer[at] == '-';
        long value = 0;
        for (int i = minus ? at + 1 : at; i < stop; i++) {
            int digit = buffer[i] - '0';
            if (digit < 0 || digit > 9 || i - at > 19) {
                return (long) decimal(name);
            }
            value = value * 10 + digit;
        }
        at = stop + 1;
        return minus ? -value : value;
    }

    /** A number; an absent one is 0. */
    double decimal(String name) {
        String s = text(name);
        if (s.equals("-")) {
            return 0;
        }
        try {
            return Double.parseDouble(s);
        } catch (NumberFormatException e) {
            throw wrong("the field '" + name + "' is not a number: " + s);
        }
    }
}
