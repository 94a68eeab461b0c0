package barrowshore.request;

import java.util.function.Consumer;

/**
 * What any client protocol hands to the desk that serves it, and the one final answer that it takes back. These records
 * own no resource and know no protocol: a second protocol beside HTTP brings its requests in this form. Times in
 * microseconds of the scheduler's clock; {@code deadlineMicros} is when the answer must have been given;
 * {@code repeatWindowMicros}: for how long after a send that may have run it may be sent again, since that does no harm
 * or its repeats are dropped; {@link #NO_REPEAT_LIMIT}, or 0: not at all;
 * {@code key}: what servers know its repeats by, null if none.
 */
public record JobRequest(
        String id,
        int jobClass,
        int tenant,
        double slots,
        double workHintMicros,
        long deadlineMicros,
        long repeatWindowMicros,
        String method,
        String target,
        String key,
        byte[] body) {
    /** A window without an end: repeats do no harm. */
    public static final long NO_REPEAT_LIMIT = Long.MAX_VALUE;

    /** Whether a repeat can be harmless at all. */
    public boolean repeatable() {
        return repeatWindowMicros > 0;
    }

    /** The same request with its body. */
    public JobRequest withBody(byte[] newBody) {
        return new JobRequest(
                id,
                jobClass,
                tenant,
                slots,
                workHintMicros,
                deadlineMicros,
                repeatWindowMicros,
                method,
                target,
                key,
                newBody);
    }

    /** The final answer to a request. */
    public sealed interface Answer permits Served, Rejection, Failed, IdInUse {}

    /** A server's result. */
    public record Served(byte[] result) implements Answer {}

    /** Harmless to try again, after so long. */
    public record Rejection(long retryAfterMicros) implements Answer {}

    /** No promise; late: its time ran out. */
    public record Failed(boolean timedOut) implements Answer {}

    /** The request never came to the module: its id is in use. */
    public record IdInUse(String reason) implements Answer {}

    /** Who waits for the answer; may be called from any thread. */
    public interface Client {
        /** Takes the final answer; called once. */
        void answer(Answer answer);

        /** Whether it is known to have closed its connection or cancelled its request. */
        default boolean isGone() {
            return false;
        }

        /**
         * Looks whether its connection still stands, also where an event about that is yet to come; then runs the
         * message, which may only post. {@link #isGone} tells what was found.
         */
        default void checkConnection(Runnable then) {
            then.run();
        }
    }

    /** Where a client's side hands its requests in; each opened one gets its answer once, unless the client goes first. */
    public interface RequestHandler {
        void submit(JobRequest request, Client client);

        void clientGone(JobRequest request);

        /** A job of the class was turned down before it became a request. */
        void countTurnedAway(int jobClass);

        /** Answers whether requests can be served. */
        void askReady(Consumer<Boolean> callback);
    }
}
