package barrowshore.servers;

import barrowshore.module.DispatchApi.Load;
import barrowshore.wire.Json;
import java.nio.ByteBuffer;
import java.nio.CharBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * One line of a server's answer. Whatever reaches a client as a result comes from here, so a line is read only if there is
 * one way to read it.
 *
 * @param share the part of the job that is done, 0 to 1 as the server tells it; 0 unless the state is {@link State#RUNNING}
 * @param load the load report; null if there is none
 * @param result the result in UTF-8; null unless the state is {@link State#DONE}
 */
record AnswerLine(State state, double share, Load load, byte[] result) {
    /** What the server says about the job. */
    enum State {
        STARTED,
        RUNNING,
        DONE,
        FAILED,
        RETURNED,
        LOST,
        /** Something that this version doesn't know. */
        UNKNOWN
    }

    /**
     * Reads a line about the request with this id.
     *
     * @throws InvalidAnswerException if it is not one JSON object, is about another request, or lacks the result of a job
     *     that is done
     */
    static AnswerLine parse(String line, String requestId) {
        Map<?, ?> fields = parseObject(line);
        if (!requestId.equals(fields.get("id"))) {
            throw new InvalidAnswerException("the answer doesn't match the request's id");
        }
        State state = state(fields.get("state"));
        return new AnswerLine(
                state,
                state == State.RUNNING && fields.get("share") instanceof Number n ? n.doubleValue() : 0,
                LoadReport.parse(fields.get("load")),
                state == State.DONE ? result(fields.get("result")) : null);
    }

    private static Map<?, ?> parseObject(String line) {
        try {
            return Json.parseStrictObject(line);
        } catch (IllegalArgumentException e) {
            throw new InvalidAnswerException("a line of the answer is not a JSON object", e);
        }
    }

    private static State state(Object value) {
        if (!(value instanceof String name)) {
            return State.UNKNOWN;
        }
        return switch (name) {
            case "started" -> State.STARTED;
            case "running" -> State.RUNNING;
            case "done" -> State.DONE;
            case "failed" -> State.FAILED;
            case "returned" -> State.RETURNED;
            case "lost" -> State.LOST;
            default -> State.UNKNOWN;
        };
    }

    /** The bytes of a result; a value of another type, or text that has no form in UTF-8, is none that a server made. */
    private static byte[] result(Object value) {
        if (!(value instanceof String text)) {
            throw new InvalidAnswerException("the result is not a string");
        }
        try {
            ByteBuffer encoded = StandardCharsets.UTF_8.newEncoder().encode(CharBuffer.wrap(text));
            byte[] bytes = new byte[encoded.remaining()];
            encoded.get(bytes);
            return bytes;
        } catch (CharacterCodingException e) {
            throw new InvalidAnswerException("the result holds half a surrogate pair", e);
        }
    }
}
