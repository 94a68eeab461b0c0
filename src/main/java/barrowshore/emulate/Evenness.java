package barrowshore.emulate;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.List;
import java.util.SplittableRandom;

/**
 * How evenly schedulers spread work over nodes, counted from what really comes to them and waits there: the spread of what
 * is offered for each unit of capacity, slots that are free while work waits elsewhere, and how many schedulers go to one
 * node at once, beside what chance alone would give. It owns these counts, and judges nothing.
 */
final class Evenness {
    /** The short window, in microseconds, and how many of them a long one holds. */
    static final long SHORT = 100_000;

    private static final int LONG = 10;

    /** What a node has for work at a look: capacity in cores at speed 1 (0: none), free slots, slots of work that waits. */
    record Look(double capacity, double free, double waiting) {}

    /** Spreads over the windows of one length: sums of the coefficient of variation and of the most against the mean. */
    private static final class Windows {
        double variation, most;
        int count;

        void enter(double[] offered, double[] capacity) {
            double sum = 0, squares = 0, whole = 0, highest = 0;
            int nodes = 0;
            for (int n = 0; n < offered.length; n++) {
                if (capacity[n] > 0) {
                    double x = offered[n] / capacity[n];
                    sum += x;
                    squares += x * x;
                    highest = Math.max(highest, x);
                    whole += offered[n];
                    nodes++;
                }
            }
            if (nodes > 1 && whole > 0) {
                double mean = sum / nodes;
                variation += Math.sqrt(Math.max(0, squares / nodes - mean * mean)) / mean;
                most += highest / mean;
                count++;
            }
        }

        double variation() {
            return count == 0 ? 0 : variation / count;
        }

        double most() {
            return count == 0 ? 0 : most / count;
        }
    }

    private final Windows shorter = new Windows(), longer = new Windows();
    private final List<BitSet> senders = new ArrayList<>();
    /** For what chance would give; its own source, so that counting changes nothing. */
    private final SplittableRandom chance = new SplittableRandom(1);

    private double[] offered = new double[0], offeredLong = new double[0];
    private int looks, sends;
    private double wasted, slots;
    private double crowd, crowdByChance;
    private int crowds;

    /** A scheduler's job of so much work times slots has come to a node. */
    void came(int node, int scheduler, double size) {
        while (senders.size() <= node) {
            senders.add(new BitSet());
        }
        if (offered.length <= node) {
            offered = Arrays.copyOf(offered, node + 1);
            offeredLong = Arrays.copyOf(offeredLong, node + 1);
        }
        offered[node] += size;
        offeredLong[node] += size;
        senders.get(node).set(scheduler);
        sends++;
    }

    /** A short window is over: how each node stands now; schedulers: how many there are. */
    void look(List<Look> nodes, int schedulers) {
        offered = Arrays.copyOf(offered, nodes.size());
        offeredLong = Arrays.copyOf(offeredLong, nodes.size());
        double[] capacity = nodes.stream().mapToDouble(Look::capacity).toArray();
        shorter.enter(offered, capacity);
        Arrays.fill(offered, 0);
        double free = 0, waiting = 0;
        for (Look n : nodes) {
            free += n.capacity > 0 ? n.free : 0;
            waiting += n.waiting;
            slots += n.capacity > 0 ? 1 : 0;
        }
        wasted += Math.min(free, waiting);
        if (++looks % LONG == 0) {
            longer.enter(offeredLong, capacity);
            Arrays.fill(offeredLong, 0);
            crowd(capacity, schedulers);
        }
    }

    /** The most schedulers that went to one node in a long window, and as many sends thrown at nodes by chance. */
    private void crowd(double[] capacity, int schedulers) {
        int usable = (int) Arrays.stream(capacity).filter(c -> c > 0).count();
        if (sends > 0 && usable > 1) {
            List<BitSet> thrown = new ArrayList<>();
            for (int n = 0; n < usable; n++) {
                thrown.add(new BitSet());
            }
            for (int k = 0; k < sends; k++) {
                thrown.get(chance.nextInt(usable)).set(chance.nextInt(schedulers));
            }
            crowd += most(senders);
            crowdByChance += most(thrown);
            crowds++;
        }
        senders.forEach(BitSet::clear);
        sends = 0;
    }

    private static int most(List<BitSet> of) {
        return of.stream().mapToInt(BitSet::cardinality).max().orElse(0);
    }

    /** Coefficient of variation of what is offered for each unit of capacity, over nodes; mean of windows of 0.1 s. */
    double variationShort() {
        return shorter.variation();
    }

    double variationLong() {
        return longer.variation();
    }

    /** The most offered to a node against the mean, mean of windows of 1 s. */
    double mostLong() {
        return longer.most();
    }

    /** Slots free while as much work waits elsewhere, a node, on average. */
    double idleWhileOthersQueue() {
        return slots == 0 ? 0 : wasted / slots;
    }

    /** Schedulers at the most crowded node in a second, against chance. */
    double crowd() {
        return crowdByChance == 0 ? 0 : crowd / crowdByChance;
    }
}
