package barrowshore.module;

/**
 * Counts of the entries that one dispatcher has gone over: workers, peers' figures, groups of workers. Unlike times they
 * are the same on every machine, so that tests can bound how upkeep grows with the fleet. It decides nothing.
 */
public final class Effort {
    long refreshes;
    long refreshVisits;
    long datagrams;
    long datagramVisits;
    long picks;
    long pickVisits;

    Effort() {}

    void refreshed(long visits) {
        refreshes++;
        refreshVisits += visits;
    }

    void picked(long visits) {
        picks++;
        pickVisits += visits;
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

    /** Searches for the best worker. */
    public long picks() {
        return picks;
    }

    /** Workers looked at in these. */
    public long pickVisits() {
        return pickVisits;
    }
}
