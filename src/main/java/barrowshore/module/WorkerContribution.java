package barrowshore.module;

import barrowshore.module.FleetView.WorkerGroup;

/** One worker's part in the sums of {@link FleetView}, as it was entered last; it decides nothing. */
final class WorkerContribution {
    /** Whether the worker is in the sums, and as which kind. */
    boolean isCounted;

    int kind;
    boolean silent;
    double capacity;
    double peerSlots;
    OthersLoadEstimate.Sample sample = OthersLoadEstimate.Sample.NONE;
    /** The workers that the others fill like this one; null: they send nothing here. */
    WorkerGroup group;
    /** What we have usually held here. */
    final DecayWeight ownSlotsDecay = new DecayWeight();
    /** When it has to be looked at again, whatever happens; and the refresh that did so last. */
    long nextVisitAt = Long.MAX_VALUE;

    long visitedInRefresh = -1;
    /** Our slots here as the other dispatchers are to know them. */
    int publishedSlots;
}
