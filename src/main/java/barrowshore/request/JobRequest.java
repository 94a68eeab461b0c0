package barrowshore.request;

import barrowshore.memory.CountedBytes;
import java.util.function.Consumer;

/**
 * A job request in the protocol-independent form in which every client protocol submits it to a {@link RequestHandler}.
 *
 * @param deadlineMicros when the client must have its answer, by the scheduler's clock
 * @param repeatWindowMicros for how long after an attempt that may have run the request may be sent again, because
 *     repeats are harmless or servers drop them; {@link #NO_REPEAT_LIMIT} for ever, 0 not at all
 * @param key the key by which servers recognize repeats, or null
 * @param body released by the {@link RequestHandler} once the request has its answer, so that senders must retain it
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
        CountedBytes body) {
    /** Value of {@code repeatWindowMicros} for requests whose repeats are always harmless. */
    public static final long NO_REPEAT_LIMIT = Long.MAX_VALUE;

    /** Whether the request may ever be sent again after an attempt that may have run. */
    public boolean repeatable() {
        return repeatWindowMicros > 0;
    }

    /** Returns a copy of this request with the given body. */
    public JobRequest withBody(CountedBytes newBody) {
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

    /** The job ran; carries the server's result, which the client releases. */
    public record Served(CountedBytes result) implements Answer {}

    /** No result; submitting the request again after the given time is harmless. */
    public record Rejection(long retryAfterMicros) implements Answer {}

    /** No result, and the job may have run; {@code timedOut} if the deadline passed. */
    public record Failed(boolean timedOut) implements Answer {}

    /** The request was not accepted because its id is in use. */
    public record IdInUse(String reason) implements Answer {}

    /** The client that waits for an answer; its methods may be called from any thread. */
    public interface Client {
        /** Receives the final answer; called once. */
        void answer(Answer answer);

        /** Whether the client is known to have closed its connection or cancelled its request. */
        default boolean isGone() {
            return false;
        }

        /**
         * Whether the client has gone, or sends so much that the last {@link #checkConnection} could not tell. No attempt
         * may begin for it then.
         */
        default boolean mayBeGone() {
            return isGone();
        }

        /**
         * Checks whether the connection is still open, without waiting for an event that says so, then runs the callback,
         * which may only post. Afterwards {@link #mayBeGone} returns the result.
         */
        default void checkConnection(Runnable then) {
            then.run();
        }
    }

    /** Accepts requests from client protocols; each gets exactly one answer unless its client leaves first. */
    public interface RequestHandler {
        void submit(JobRequest request, Client client);

        void clientGone(JobRequest request);

        /** Counts a job of the class that was rejected before it became a request. */
        void countRejected(int jobClass);

        /** Passes to the callback whether requests can be served now. */
        void checkReady(Consumer<Boolean> callback);
    }
}
