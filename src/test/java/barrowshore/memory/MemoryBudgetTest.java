package barrowshore.memory;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against bytes that are held uncounted, counted for ever, or all taken by those that hold most. */
class MemoryBudgetTest {
    private static final int UNCOUNTED = 100, THRESHOLD_DIVISOR = 4;

    private final MemoryBudget budget = new MemoryBudget(10_000, THRESHOLD_DIVISOR);

    @Test
    void smallHolderFindsRoomBesideManyThatGrowAsFarAsTheyCan() {
        List<MemoryReservation> greedy = new ArrayList<>();
        for (int holder = 0; holder < 50; holder++) {
            MemoryReservation reservation = budget.newReservation(0);
            for (int bytes = 10; reservation.tryGrowTo(bytes); bytes += 10) {
                assertThat(budget.usedBytes()).isLessThanOrEqualTo(10_000);
            }
            greedy.add(reservation);
        }
        assertThat(budget.newReservation(UNCOUNTED).tryGrowTo(UNCOUNTED)).isTrue();
        greedy.forEach(MemoryReservation::release);
        assertThat(budget.usedBytes()).isZero();
    }

    @Test
    void noHolderGetsMoreThanItsPartOfWhatIsFree() {
        MemoryReservation reservation = budget.newReservation(UNCOUNTED);
        assertThat(reservation.tryGrowTo(UNCOUNTED + 2_501)).isFalse();
        assertThat(reservation.tryGrowTo(UNCOUNTED + 2_500)).isTrue();
        assertThat(budget.usedBytes()).isEqualTo(2_500);
        budget.setCapacity(5_000);
        assertThat(budget.newReservation(0).tryGrowTo(1_000)).isFalse();
        reservation.release();
        reservation.release();
        assertThat(budget.usedBytes()).isZero();
        assertThat(budget.newReservation(0).tryGrowTo(1_000)).isTrue();
    }

    @Test
    void whatIsNotCountedFitsAlsoWhereMoreIsHeldThanALoweredLimitAllows() {
        MemoryReservation large = budget.newReservation(0);
        assertThat(large.tryGrowTo(2_500)).isTrue();
        budget.setCapacity(1_000);
        MemoryReservation small = budget.newReservation(UNCOUNTED);
        assertThat(small.fits(UNCOUNTED)).isTrue();
        assertThat(small.tryGrowTo(UNCOUNTED)).isTrue();
        assertThat(small.fits(UNCOUNTED + 1)).isFalse();
        assertThat(large.fits(2_500)).isTrue();
    }

    @Test
    void bytesStayCountedUntilTheLastHolderHasReleasedThem() {
        MemoryReservation reservation = budget.newReservation(0);
        assertThat(reservation.tryGrowTo(1_000)).isTrue();
        CountedBytes body = new CountedBytes(new byte[600], 50, reservation);
        assertThat(budget.usedBytes()).isEqualTo(650);
        assertThat(body.retain()).hasSize(600);
        body.release();
        assertThat(budget.usedBytes()).as("a write still holds them").isEqualTo(650);
        body.forget();
        assertThat(budget.usedBytes()).as("without the attributes").isEqualTo(600);
        body.release();
        assertThat(budget.usedBytes()).isZero();
        assertThat(body.retain()).as("released bytes").isNull();
        assertThat(body.size()).isEqualTo(600);
    }

    @Test
    void oldestHolderIsAskedToGiveUpItsMemoryOneAtATime() {
        List<String> asked = new ArrayList<>();
        MemoryReservation first = budget.newReservation(0), second = budget.newReservation(0);
        first.tryGrowTo(10);
        second.tryGrowTo(2_000);
        first.setReclaimer(() -> asked.add("first"));
        second.setReclaimer(() -> asked.add("second"));
        first.setReclaimer(() -> asked.add("first again"));
        budget.reclaimOldest();
        budget.reclaimOldest();
        assertThat(asked).containsExactly("first again");
        first.release();
        budget.reclaimOldest();
        assertThat(asked).containsExactly("first again", "second");
        second.release();
        budget.reclaimOldest();
        assertThat(asked).hasSize(2);
    }

    @Test
    void bufferGrowsByDoublingUpToItsMaximum() {
        GrowableBuffer buffer = new GrowableBuffer(4, 10);
        assertThat(buffer.capacityFor(5)).isEqualTo(8);
        assertThat(buffer.append(ByteBuffer.wrap(new byte[] {1, 2, 3, 4, 5}), 5))
                .isTrue();
        assertThat(buffer.toArray()).containsExactly(1, 2, 3, 4, 5);
        assertThat(buffer.append(ByteBuffer.wrap(new byte[6]), 6)).isFalse();
        assertThat(buffer.append(ByteBuffer.wrap(new byte[5]), 5)).isTrue();
        assertThat(buffer.toArray()).isSameAs(buffer.array()).hasSize(10);
        buffer.clear();
        assertThat(buffer.size()).isZero();
        assertThat(buffer.toArray()).isEmpty();
    }
}
