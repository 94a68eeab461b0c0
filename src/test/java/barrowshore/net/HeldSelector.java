package barrowshore.net;

import java.util.concurrent.CountDownLatch;
import org.eclipse.jetty.io.ManagedSelector;

/** Holds a dialer's selector: what happens to its connections meanwhile is known to the kernel, but not to the program. */
public final class HeldSelector implements AutoCloseable {
    private final CountDownLatch released = new CountDownLatch(1);

    /** Returns once the selector is held. */
    public HeldSelector(ConnectionManager dialer) throws InterruptedException {
        CountDownLatch held = new CountDownLatch(1);
        dialer.getBean(ManagedSelector.class).submit(keys -> {
            held.countDown();
            try {
                released.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        held.await();
    }

    /** Lets it go on; may be called again. */
    public void release() {
        released.countDown();
    }

    @Override
    public void close() {
        release();
    }
}
