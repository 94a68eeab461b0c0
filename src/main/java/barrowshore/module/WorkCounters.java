package barrowshore.module;

/**
 * Counts of the entries that one dispatcher has gone over: workers, peers' figures, shapes of workers. Unlike times they
 * are the same on every machine, so that tests can bound how upkeep grows with the fleet. It decides nothing.
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

    /** A datagram has come; malformed and unknown: how many of either so far. */
    void countDatagram(boolean entered, long visits, long malformed, long unknown) {
        datagrams += entered ? 1 : 0;
        datagramVisits += visits;
        malformedDatagrams = malformed;
        unknownWorkers = unknown;
    }

    /** How many times what ages has been renewed. */
    public long refreshes() {
        return refreshes;
    }

    /** Entries gone over in all of these. */
    public long refreshVisits() {
        return refreshVisits;
    }

    /** Datagrams of other dispatchers that were entered. */
    public long datagrams() {
        return datagrams;
    }

    /** Entries gone over for these. */
    public long datagramVisits() {
        return datagramVisits;
    }

    /** Datagrams dropped: of no known form or version, or of no known sender. */
    public long malformedDatagrams() {
        return malformedDatagrams;
    }

    /** Figures in datagrams that were dropped, since no worker of that name is known. */
    public long unknownWorkers() {
        return unknownWorkers;
    }

    /** Searches for the best worker. */
    public long picks() {
        return picks;
    }

    /** Workers looked at in these. */
    public long pickVisits() {
        return pickVisits;
    }

    /** Workers gone over when the list changed. */
    public long listVisits() {
        return listVisits;
    }
}
