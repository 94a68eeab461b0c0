package barrowshore.module;

/**
 * Counts the entries that one dispatcher has visited: workers, peers' figures, worker groups. Unlike times, counts
 * are the same on every machine, so that tests can bound how the work grows with the fleet.
 */
public final class WorkCounters {
    private long refreshes;
    private long refreshVisits;
    private long datagrams;
    private long datagramVisits;
    private long malformedDatagrams;
    private long unknownWorkers;
    private long picks;
    private long pickVisits;
    private long listVisits;

    WorkCounters() {}

    void countRefresh(long visits) {
        refreshes++;
        refreshVisits += visits;
    }

    void countPick(long visits) {
        picks++;
        pickVisits += visits;
    }

    void countListUpdate(long visits) {
        listVisits += visits;
    }

    /** Counts a datagram received; malformed, unknown: totals so far. */
    void countDatagram(boolean entered, long visits, long malformed, long unknown) {
        datagrams += entered ? 1 : 0;
        datagramVisits += visits;
        malformedDatagrams = malformed;
        unknownWorkers = unknown;
    }

    /** Refreshes so far. */
    public long refreshes() {
        return refreshes;
    }

    /** Entries visited in all refreshes. */
    public long refreshVisits() {
        return refreshVisits;
    }

    /** Datagrams of other dispatchers that were applied. */
    public long datagrams() {
        return datagrams;
    }

    /** Entries visited for these datagrams. */
    public long datagramVisits() {
        return datagramVisits;
    }

    /** Datagrams dropped: of unknown format, version or sender. */
    public long malformedDatagrams() {
        return malformedDatagrams;
    }

    /** Figures dropped because they name an unknown worker. */
    public long unknownWorkers() {
        return unknownWorkers;
    }

    /** Searches for the best worker. */
    public long picks() {
        return picks;
    }

    /** Workers visited in these searches. */
    public long pickVisits() {
        return pickVisits;
    }

    /** Workers visited for list changes. */
    public long listVisits() {
        return listVisits;
    }
}
