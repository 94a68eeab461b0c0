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
final class LoadBalanceStats {
    /** The short window, in microseconds, and how many of them a long one holds. */
    static final long SHORT_WINDOW_MICROS = 100_000;

    private static final int SHORT_WINDOWS_PER_LONG = 10;

    /** What a node has for work at a look: capacity in cores at speed 1 (0: none), free slots, slots of work that waits. */
    record NodeSample(double capacity, double freeSlots, double waitingSlots) {}

    /** Spreads over the windows of one length: sums of the coefficient of variation and of the most against the mean. */
    private static final class WindowStats {
        double variationSum, peakSum;
        int windowCount;

        void add(double[] offered, double[] capacity) {
            double sum = 0, squares = 0, total = 0, highest = 0;
            int nodes = 0;
            for (int n = 0; n < offered.length; n++) {
                if (capacity[n] > 0) {
                    double load = offered[n] / capacity[n];
                    sum += load;
                    squares += load * load;
                    highest = Math.max(highest, load);
                    total += offered[n];
                    nodes++;
                }
            }
            if (nodes > 1 && total > 0) {
                double mean = sum / nodes;
                variationSum += Math.sqrt(Math.max(0, squares / nodes - mean * mean)) / mean;
                peakSum += highest / mean;
                windowCount++;
            }
        }

        double meanVariation() {
            return windowCount == 0 ? 0 : variationSum / windowCount;
        }

        double meanPeak() {
            return windowCount == 0 ? 0 : peakSum / windowCount;
        }
    }

    private final WindowStats shortWindows = new WindowStats(), longWindows = new WindowStats();
    private final List<BitSet> sendersByNode = new ArrayList<>();
    /** For what chance would give; its own source, so that counting changes nothing. */
    private final SplittableRandom random = new SplittableRandom(1);

    private double[] offeredShort = new double[0], offeredLong = new double[0];
    private int sampleCount, sendCount;
    private double idleSlotsWhileQueued, nodeSampleCount;
    private double peakSenders, peakSendersByChance;
    private int crowdingWindowCount;

    /** A scheduler's job of so much work times slots has come to a node. */
    void recordArrival(int node, int scheduler, double slotWork) {
        while (sendersByNode.size() <= node) {
            sendersByNode.add(new BitSet());
        }
        if (offeredShort.length <= node) {
            offeredShort = Arrays.copyOf(offeredShort, node + 1);
            offeredLong = Arrays.copyOf(offeredLong, node + 1);
        }
        offeredShort[node] += slotWork;
        offeredLong[node] += slotWork;
        sendersByNode.get(node).set(scheduler);
        sendCount++;
    }

    /** A short window is over: how each node stands now; schedulers: how many there are. */
    void addSample(List<NodeSample> nodes, int schedulers) {
        offeredShort = Arrays.copyOf(offeredShort, nodes.size());
        offeredLong = Arrays.copyOf(offeredLong, nodes.size());
        double[] capacity = nodes.stream().mapToDouble(NodeSample::capacity).toArray();
        shortWindows.add(offeredShort, capacity);
        Arrays.fill(offeredShort, 0);
        double free = 0, waiting = 0;
        for (NodeSample node : nodes) {
            free += node.capacity > 0 ? node.freeSlots : 0;
            waiting += node.waitingSlots;
            nodeSampleCount += node.capacity > 0 ? 1 : 0;
        }
        idleSlotsWhileQueued += Math.min(free, waiting);
        if (++sampleCount % SHORT_WINDOWS_PER_LONG == 0) {
            longWindows.add(offeredLong, capacity);
            Arrays.fill(offeredLong, 0);
            recordCrowding(capacity, schedulers);
        }
    }

    /** The most schedulers that went to one node in a long window, and as many sends thrown at nodes by chance. */
    private void recordCrowding(double[] capacity, int schedulers) {
        int usableNodes = (int) Arrays.stream(capacity).filter(c -> c > 0).count();
        if (sendCount > 0 && usableNodes > 1) {
            List<BitSet> byChance = new ArrayList<>();
            for (int n = 0; n < usableNodes; n++) {
                byChance.add(new BitSet());
            }
            for (int k = 0; k < sendCount; k++) {
                byChance.get(random.nextInt(usableNodes)).set(random.nextInt(schedulers));
            }
            peakSenders += mostSenders(sendersByNode);
            peakSendersByChance += mostSenders(byChance);
            crowdingWindowCount++;
        }
        sendersByNode.forEach(BitSet::clear);
        sendCount = 0;
    }

    private static int mostSenders(List<BitSet> senders) {
        return senders.stream().mapToInt(BitSet::cardinality).max().orElse(0);
    }

    /** Coefficient of variation of what is offered for each unit of capacity, over nodes; mean of windows of 0.1 s. */
    double variationShort() {
        return shortWindows.meanVariation();
    }

    double variationLong() {
        return longWindows.meanVariation();
    }

    /** The most offered to a node against the mean, mean of windows of 1 s. */
    double peakLong() {
        return longWindows.meanPeak();
    }

    /** Slots free while as much work waits elsewhere, a node, on average. */
    double idleWhileOthersQueue() {
        return nodeSampleCount == 0 ? 0 : idleSlotsWhileQueued / nodeSampleCount;
    }

    /** Schedulers at the most crowded node in a second, against chance. */
    double crowding() {
        return peakSendersByChance == 0 ? 0 : peakSenders / peakSendersByChance;
    }
}
