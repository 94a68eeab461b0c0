package barrowshore.net;

import java.util.concurrent.CountDownLatch;
import org.eclipse.jetty.io.ManagedSelector;

/** Blocks a connection manager's selector, so that the kernel knows of events on connections but the program doesn't. */
public final class HeldSelector implements AutoCloseable {
    private final CountDownLatch released = new CountDownLatch(1);

    /** Returns once the selector is blocked. */
    public HeldSelector(ConnectionManager connectionManager) throws InterruptedException {
        CountDownLatch held = new CountDownLatch(1);
        connectionManager.getBean(ManagedSelector.class).submit(keys -> {
            held.countDown();
            try {
                released.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        held.await();
    }

    /** Unblocks the selector; may be called repeatedly. */
    public void release() {
        released.countDown();
    }

    @Override
    public void close() {
        release();
    }
}
