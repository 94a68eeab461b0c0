package barrowshore.upgrade;

import java.util.Locale;
import java.util.Optional;

/**
 * What two processes of one scheduler tell each other about the ids of requests; a line of the upgrade link.
 *
 * @param id the request's id, or an empty string for {@link Kind#IDS}
 */
public record IdMessage(Kind kind, String id) {
    /** The first word of the line, in lower case. */
    public enum Kind {
        /** The sender understands these messages, and has told all ids that it holds. */
        IDS,
        /** The sender has got a request with this id and asks whether it may run it. */
        CLAIM,
        /** It may. */
        GRANTED,
        /** It may not: the id is in use. */
        TAKEN,
        /** The sender runs, or has run, a request with this id. */
        OPEN
    }

    static IdMessage of(Kind kind, String id) {
        return new IdMessage(kind, id);
    }

    /** Whether the receiver can do without it: it has to ask the sender anyway before it runs the id. */
    public boolean isOptional() {
        return kind == Kind.CLAIM || kind == Kind.OPEN;
    }

    /** The line of the link. */
    public String toLine() {
        String word = kind.name().toLowerCase(Locale.ROOT);
        return id.isEmpty() ? word : word + " " + id;
    }

    /** Reads a line of the link; empty if it is none of these messages. */
    public static Optional<IdMessage> parse(String line) {
        String[] words = line.split(" ", 2);
        for (Kind kind : Kind.values()) {
            if (words[0].equals(kind.name().toLowerCase(Locale.ROOT))) {
                return Optional.of(new IdMessage(kind, words.length > 1 ? words[1] : ""));
            }
        }
        return Optional.empty();
    }
}
