package barrowshore.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** The datagram format: written snapshots are read back, malformed ones are dropped, and older versions drop all of them. */
class SlotSnapshotTest {

    private static byte[] write(int nameBits, Map<Integer, Integer> slots) {
        SlotSnapshot.Writer writer = new SlotSnapshot.Writer(nameBits, 0, SlotSnapshot.MAX_BYTES);
        slots.forEach(writer::add);
        return writer.finish(77, 5, SlotSnapshot.NAME_LIMIT);
    }

    @Property
    void readReturnsWhatWasWritten(
            @ForAll @Size(max = 40) List<@IntRange(min = 0, max = SlotSnapshot.NAME_LIMIT - 1) Integer> names,
            @ForAll @IntRange(min = 1, max = 255) int slots,
            @ForAll @IntRange(min = SlotSnapshot.MIN_NAME_BITS, max = SlotSnapshot.FULL_NAME_BITS) int nameBits) {
        Map<Integer, Integer> held = new TreeMap<>();
        for (int name : names) {
            held.put(SlotSnapshot.truncate(name, nameBits), held.size() % 2 == 0 ? 1 : slots);
        }
        byte[] message = write(nameBits, held);
        SlotSnapshot read = SlotSnapshot.read(message);
        assertThat(message).hasSizeLessThanOrEqualTo(SlotSnapshot.MAX_BYTES);
        assertThat(read).isNotNull();
        assertThat(read.incarnation()).isEqualTo(77);
        assertThat(read.sequence()).isEqualTo(5);
        Map<Integer, Integer> decoded = new TreeMap<>();
        read.entries().forEach(e -> decoded.put(e.name(), e.slots()));
        assertThat(decoded).isEqualTo(held);
    }

    /** The old format has a 5-byte header and 5-byte entries; its reader drops all other lengths. */
    @Property
    void oldFormatReaderDropsDatagram(@ForAll @IntRange(min = 0, max = 60) int entries) {
        Map<Integer, Integer> held = new TreeMap<>();
        for (int k = 0; k < entries; k++) {
            held.put(k << 14, 1 + k % 2);
        }
        assertThat((write(16, held).length - 5) % 5).isNotZero();
    }

    @Test
    void oldFormatDatagramIsDropped() {
        for (byte kind = 0; kind < 4; kind++) {
            byte[] message = new byte[5 + 5 * 4];
            message[0] = kind;
            assertThat(SlotSnapshot.read(message)).isNull();
        }
    }

    @Property
    void arbitraryBytesReadAsValidSnapshotOrNull(@ForAll @Size(max = 300) byte[] bytes, @ForAll boolean currentFormat) {
        byte[] message = bytes.clone();
        if (currentFormat && message.length > 7) {
            message[0] = (byte) (4 + message[1] % 2);
            message[7] = (byte) (12 + Math.abs(message[7] % 19));
        }
        SlotSnapshot read = SlotSnapshot.read(message);
        if (read != null) {
            int previousName = read.from() - 1;
            assertThat(read.to()).isBetween(1, SlotSnapshot.NAME_LIMIT);
            for (SlotSnapshot.Entry entry : read.entries()) {
                assertThat(entry.name())
                        .isGreaterThanOrEqualTo(Math.max(0, previousName))
                        .isLessThan(read.to());
                assertThat(entry.slots()).isBetween(1, 255);
                previousName = entry.name();
            }
        }
    }

    @Test
    void wrongLengthIsDropped() {
        byte[] message = write(20, Map.of(1 << 10, 3));
        assertThat(SlotSnapshot.read(message)).isNotNull();
        assertThat(SlotSnapshot.read(Arrays.copyOf(message, 10))).isNull();
        assertThat(SlotSnapshot.read(Arrays.copyOf(message, 257))).isNull();
    }

    @Test
    void nameIsDeterministicAndInRange() {
        assertThat(SlotSnapshot.hashOf("s-5be2a07c")).isEqualTo(SlotSnapshot.hashOf("s-5be2a07c"));
        assertThat(SlotSnapshot.hashOf("s-5be2a07c")).isBetween(0, SlotSnapshot.NAME_LIMIT - 1);
    }
}
