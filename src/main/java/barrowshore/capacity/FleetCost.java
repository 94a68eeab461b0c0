package barrowshore.capacity;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToLongFunction;

/** The metrics of one simulation run, averaged over the schedulers. Metrics that were not measured are absent. */
public final class FleetCost {
    private static final double NANOS_PER_SECOND = 1e9, NANOS_PER_MICRO = 1e3, PERCENT = 100;

    /** Consecutive collections: the serial collector leaves some garbage in place except at every fourth one. */
    private static final int COLLECTIONS = 4;

    private final Map<Metric, Double> values = new EnumMap<>(Metric.class);

    private FleetCost() {}

    static FleetCost of(
            FleetSize size,
            SimulationOptions options,
            List<SimulatedDispatcher> schedulers,
            FleetSimulation.VisitCounts visits,
            FleetSimulation.Workload workload) {
        FleetCost cost = new FleetCost();
        cost.putWorkload(workload, options.seconds());
        cost.putExchange(size, new PerScheduler(schedulers), options.seconds());
        cost.putVisits(visits, schedulers.size(), options.seconds());
        cost.putHeldState(schedulers);
        if (options.timed()) {
            cost.putTimes(new PerScheduler(schedulers), options.seconds());
            cost.values.put(Metric.HEAP_HELD, heapPerModule(schedulers));
        }
        return cost;
    }

    /** Returns the metric's value, or NaN if it was not measured. */
    public double get(Metric metric) {
        return values.getOrDefault(metric, Double.NaN);
    }

    /** Averages a figure over the schedulers. */
    private record PerScheduler(List<SimulatedDispatcher> schedulers) {
        double mean(ToLongFunction<SimulatedDispatcher> figure) {
            return schedulers.stream().mapToLong(figure).average().orElseThrow();
        }
    }

    private void putWorkload(FleetSimulation.Workload workload, int seconds) {
        values.put(Metric.STARTED, workload.started() / (double) seconds);
        values.put(Metric.STARTED_AGAIN, workload.hedgesStarted() / (double) seconds);
        values.put(Metric.RUNNING, workload.running());
        values.put(Metric.TURNED_DOWN, PERCENT * workload.refused() / workload.requests());
        values.put(Metric.FAILED, PERCENT * workload.failed() / workload.requests());
        values.put(Metric.URGENT_START_P99, workload.urgentStartSeconds());
    }

    private void putExchange(FleetSize size, PerScheduler each, int seconds) {
        int peers = size.schedulers() - 1;
        double sent = each.mean(s -> s.datagrams.sent()) / seconds;
        double sentBytes = each.mean(s -> s.datagrams.sentBytes()) / seconds;
        double receivedBytes = each.mean(s -> s.datagrams.receivedBytes()) / seconds;
        values.put(Metric.DATAGRAMS_OUT, sent);
        values.put(Metric.DATAGRAMS_OUT_PER_PEER, sent * peers);
        values.put(Metric.DATAGRAMS_IN, each.mean(s -> s.datagrams.received()) / seconds);
        values.put(Metric.BYTES_OUT, sentBytes);
        values.put(Metric.BYTES_OUT_PER_PEER, sentBytes * peers);
        values.put(Metric.BYTES_IN, receivedBytes);
        values.put(Metric.CONTROL_BYTES, sentBytes + receivedBytes);
        values.put(Metric.LIST_ENTRIES, each.mean(SimulatedDispatcher::entriesApplied) / seconds);
        values.put(Metric.SETTINGS_CHANGES, each.mean(s -> s.meter.calls(CallKind.SETTINGS)) / seconds);
    }

    private void putVisits(FleetSimulation.VisitCounts visits, int schedulers, int seconds) {
        double schedulerSeconds = (double) schedulers * seconds;
        values.put(Metric.REFRESHES, visits.refreshes() / schedulerSeconds);
        putRatio(Metric.REFRESH_VISITS, visits.refreshVisits(), visits.refreshes());
        putRatio(Metric.DATAGRAM_VISITS, visits.datagramVisits(), visits.datagrams());
        putRatio(Metric.PICK_VISITS, visits.pickVisits(), visits.picks());
        values.put(Metric.UPKEEP_VISITS, (visits.refreshVisits() + visits.datagramVisits()) / schedulerSeconds);
    }

    private void putHeldState(List<SimulatedDispatcher> schedulers) {
        List<ObjectGraphSize> held =
                schedulers.stream().map(SimulatedDispatcher::heldState).toList();
        values.put(
                Metric.ENTRIES_HELD,
                held.stream().mapToLong(ObjectGraphSize::entries).average().orElseThrow());
        values.put(
                Metric.BYTES_HELD,
                held.stream().mapToLong(ObjectGraphSize::bytes).average().orElseThrow());
    }

    private void putTimes(PerScheduler each, int seconds) {
        values.put(Metric.CONTROL_TIME, percentOfCore(each.mean(s -> s.meter.nanos(true)), seconds));
        values.put(Metric.REQUEST_TIME, percentOfCore(each.mean(s -> s.meter.nanos(false)), seconds));
        putTime(each, seconds, CallKind.REFRESH, Metric.REFRESH_TIME, Metric.MICROS_PER_REFRESH);
        putTime(each, seconds, CallKind.DATAGRAM, Metric.DATAGRAM_TIME, Metric.MICROS_PER_DATAGRAM);
        putTime(each, seconds, CallKind.LIST, Metric.LIST_TIME, Metric.MICROS_PER_LIST_CHANGE);
        putTime(each, seconds, CallKind.SETTINGS, Metric.SETTINGS_TIME, Metric.MICROS_PER_SETTINGS_CHANGE);
        double requests = each.mean(s -> s.meter.calls(CallKind.REQUEST));
        putRatio(Metric.MICROS_PER_REQUEST, each.mean(s -> s.meter.nanos(false)) / NANOS_PER_MICRO, requests);
    }

    private void putTime(PerScheduler each, int seconds, CallKind kind, Metric ofCore, Metric ofCall) {
        double nanos = each.mean(s -> s.meter.nanos(kind));
        values.put(ofCore, percentOfCore(nanos, seconds));
        putRatio(ofCall, nanos / NANOS_PER_MICRO, each.mean(s -> s.meter.calls(kind)));
    }

    private void putRatio(Metric metric, double sum, double count) {
        if (count > 0) {
            values.put(metric, sum / count);
        }
    }

    private static double percentOfCore(double nanos, int seconds) {
        return PERCENT * nanos / (seconds * NANOS_PER_SECOND);
    }

    /** Returns the heap bytes freed per scheduler when all schedulers release their modules. */
    private static double heapPerModule(List<SimulatedDispatcher> schedulers) {
        long before = heapAfterCollection();
        schedulers.forEach(SimulatedDispatcher::releaseModule);
        long after = heapAfterCollection();
        return Math.max(0, before - after) / (double) schedulers.size();
    }

    private static long heapAfterCollection() {
        for (int i = 0; i < COLLECTIONS; i++) {
            System.gc();
        }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }
}
