package barrowshore.node;

import barrowshore.net.Mailbox;
import barrowshore.upgrade.IdMessage;
import barrowshore.upgrade.OtherProcess;
import barrowshore.upgrade.RequestIds;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * Asks {@link RequestIds} which requests may run, and carries its messages to and from the other processes of this
 * scheduler. A part of the module's actor: {@link #begin} and {@link #end} must be called there, the others may be called
 * from any thread.
 */
final class RequestAdmission {
    /** The requests that wait for a decision. */
    interface WaitingRequests {
        /** The request may run. */
        void admit(String id);

        /** The request may not run: its id is in use. */
        void refuse(String id);
    }

    private final Mailbox mailbox;
    private final Scheduler timers;
    private final LongSupplier nowMicros;
    private final RequestIds ids;
    /** Set before the first message is sent: without another process there is none. */
    private BiConsumer<OtherProcess, IdMessage> sender = (to, message) -> {};

    private boolean tickScheduled;

    RequestAdmission(Mailbox mailbox, Scheduler timers, LongSupplier nowMicros, WaitingRequests waitingRequests) {
        this.mailbox = mailbox;
        this.timers = timers;
        this.nowMicros = nowMicros;
        this.ids = new RequestIds(new RequestIds.Actions() {
            @Override
            public void send(OtherProcess to, IdMessage message) {
                sender.accept(to, message);
            }

            @Override
            public void admit(String id) {
                waitingRequests.admit(id);
            }

            @Override
            public void refuse(String id) {
                waitingRequests.refuse(id);
            }
        });
    }

    /** See {@link RequestIds#begin}. */
    RequestIds.Admission begin(String id, boolean mayRepeat) {
        RequestIds.Admission admission = ids.begin(id, mayRepeat);
        if (admission == RequestIds.Admission.WAITING) {
            scheduleTick();
        }
        return admission;
    }

    /** See {@link RequestIds#end}. */
    void end(String id, boolean mayHaveRun) {
        ids.end(id, mayHaveRun);
    }

    private void scheduleTick() {
        if (!tickScheduled) {
            tickScheduled = true;
            timers.schedule(() -> mailbox.post(this::tick), RequestIds.TICK_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void tick() {
        tickScheduled = false;
        if (ids.tick(nowMicros.getAsLong())) {
            scheduleTick();
        }
    }

    /** Another process is there; serving: it serves clients already; messages to it go to the sender. */
    void connect(OtherProcess other, boolean serving, BiConsumer<OtherProcess, IdMessage> messageSender) {
        mailbox.post(() -> {
            sender = messageSender;
            ids.connected(other, serving);
        });
    }

    /** Another process serves clients from now on. */
    void noteServing(OtherProcess other) {
        mailbox.post(() -> ids.serving(other));
    }

    /** Another process has ended. */
    void disconnect(OtherProcess other) {
        mailbox.post(() -> ids.closed(other));
    }

    void receive(OtherProcess from, IdMessage message) {
        mailbox.post(() -> ids.received(from, message));
    }
}
