package barrowshore.emulate;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Measures how evenly schedulers spread work over nodes, from true arrivals and queues: the variation of offered work per
 * capacity, slots that are free while jobs wait elsewhere, and how many schedulers send to one node at once, compared with
 * random sending. It owns these counts.
 */
final class LoadBalanceStats {
    static final long SHORT_WINDOW_MICROS = 100_000;

    private static final int SHORT_WINDOWS_PER_LONG = 10;

    /** A node at one moment: capacity in cores at speed 1 (0: unusable), free slots, slots of waiting jobs. */
    record NodeSample(double capacity, double freeSlots, double waitingSlots) {}

    /** Sums, over windows of one length, of the nodes' coefficient of variation and of peak over mean load. */
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
    /** For random sending; a separate source, so that measuring does not change the run. */
    private final SplittableRandom random = new SplittableRandom(1);

    private double[] offeredShort = new double[0], offeredLong = new double[0];
    private int sampleCount, sendCount;
    private double idleSlotsWhileQueued, nodeSampleCount;
    private double peakSenders, peakSendersByChance;
    private int crowdingWindowCount;

    /** Counts a scheduler's job arriving at a node; slotWork: work times slots. */
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

    /** Ends a short window with the present state of all nodes; schedulers: their number. */
    void addSample(List<NodeSample> nodes, int schedulers) {
        offeredShort = Arrays.copyOf(offeredShort, nodes.size());
        offeredLong = Arrays.copyOf(offeredLong, nodes.size());
        double[] capacity = nodes.stream().mapToDouble(NodeSample::capacity).toArray();
        shortWindows.add(offeredShort, capacity);
        Arrays.fill(offeredShort, 0);
        double freeSlots = 0, waitingSlots = 0;
        for (NodeSample node : nodes) {
            freeSlots += node.capacity > 0 ? node.freeSlots : 0;
            waitingSlots += node.waitingSlots;
            nodeSampleCount += node.capacity > 0 ? 1 : 0;
        }
        idleSlotsWhileQueued += Math.min(freeSlots, waitingSlots);
        if (++sampleCount % SHORT_WINDOWS_PER_LONG == 0) {
            longWindows.add(offeredLong, capacity);
            Arrays.fill(offeredLong, 0);
            recordCrowding(capacity, schedulers);
        }
    }

    /** Adds the most schedulers that sent to one node in a long window, and the same for as many random sends. */
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

    /** Coefficient of variation, over nodes, of offered work per capacity; mean over windows of 0.1 s. */
    double shortWindowVariation() {
        return shortWindows.meanVariation();
    }

    /** The same over windows of 1 s. */
    double longWindowVariation() {
        return longWindows.meanVariation();
    }

    /** Highest offered work per capacity of a node, relative to the mean; mean over windows of 1 s. */
    double longWindowPeak() {
        return longWindows.meanPeak();
    }

    /** Mean free slots per usable node that jobs waiting elsewhere could have used. */
    double idleWhileOthersQueue() {
        return nodeSampleCount == 0 ? 0 : idleSlotsWhileQueued / nodeSampleCount;
    }

    /** Schedulers sending to the most crowded node in 1 s, relative to random sending. */
    double crowding() {
        return peakSendersByChance == 0 ? 0 : peakSenders / peakSendersByChance;
    }
}
