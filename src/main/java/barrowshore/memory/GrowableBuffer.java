package barrowshore.memory;

import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * Collects bytes in an array that grows by doubling up to a maximum size. The caller asks for {@link #capacityFor} first
 * and reserves the memory.
 */
public final class GrowableBuffer {
    private final int initialBytes;
    private final int maxBytes;
    private byte[] bytes = {};
    private int size;

    /** Creates an empty buffer; its array begins with {@code initialBytes} and never exceeds {@code maxBytes}. */
    public GrowableBuffer(int initialBytes, int maxBytes) {
        this.initialBytes = initialBytes;
        this.maxBytes = maxBytes;
    }

    /** The number of bytes collected. */
    public int size() {
        return size;
    }

    /** The size of the array once it holds so many bytes more; the maximum size if that would be exceeded. */
    public int capacityFor(int additionalBytes) {
        long needed = (long) size + additionalBytes;
        long capacity = Math.max(bytes.length, Math.min(initialBytes, maxBytes));
        while (capacity < needed && capacity < maxBytes) {
            capacity = Math.min(maxBytes, 2 * capacity);
        }
        return (int) capacity;
    }

    /** Takes so many bytes from the source; false: they don't fit, and nothing has changed. */
    public boolean append(ByteBuffer source, int count) {
        int capacity = capacityFor(count);
        if (size + count > capacity) {
            return false;
        }
        if (capacity > bytes.length) {
            bytes = Arrays.copyOf(bytes, capacity);
        }
        source.get(bytes, size, count);
        size += count;
        return true;
    }

    /** The array itself; its first {@link #size} bytes are valid. */
    public byte[] array() {
        return bytes;
    }

    /** Returns the bytes collected, without a copy if they fill the array. */
    public byte[] toArray() {
        return size == bytes.length ? bytes : Arrays.copyOf(bytes, size);
    }

    /** Forgets the bytes and the array. */
    public void clear() {
        bytes = new byte[0];
        size = 0;
    }
}
