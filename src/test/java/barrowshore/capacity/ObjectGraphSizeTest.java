package barrowshore.capacity;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Checks the entries and bytes counted in an object graph. */
class ObjectGraphSizeTest {
    /** Has a field of each kind that is followed, and a reference to itself. */
    private static final class Holder {
        final List<Holder> list = new ArrayList<>();
        final Map<String, double[]> map = new HashMap<>();
        final Holder[] array = new Holder[3];
        final Runnable reportsTo;
        Holder itself = this;

        Holder(Runnable reportsTo) {
            this.reportsTo = reportsTo;
        }
    }

    private static Holder holder() {
        return new Holder(() -> {});
    }

    @Test
    void entriesOfCollectionsMapsAndArraysAreCountedOnce() {
        Holder holder = holder();
        holder.list.add(holder);
        holder.map.put("a", new double[100]);
        holder.map.put("b", new double[0]);
        holder.array[1] = holder;
        assertThat(ObjectGraphSize.of(holder, null).entries()).isEqualTo(1 + 2 + 1);
    }

    @Test
    void bytesGrowByWhatIsAdded() {
        Holder holder = holder();
        long before = ObjectGraphSize.of(holder, null).bytes();
        holder.map.put("a", new double[1_000]);
        assertThat(ObjectGraphSize.of(holder, null).bytes() - before).isBetween(8_000L, 8_200L);
    }

    @Test
    void excludedObjectIsNotFollowed() {
        Holder outside = holder();
        outside.list.add(holder());
        Holder holder = holder();
        holder.itself = outside;
        assertThat(ObjectGraphSize.of(holder, null).entries()).isEqualTo(1);
        assertThat(ObjectGraphSize.of(holder, outside).entries()).isZero();
    }
}
