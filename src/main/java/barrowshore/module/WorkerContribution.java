package barrowshore.module;

import barrowshore.module.FleetView.WorkerGroup;

/** One worker's part in the sums of {@link FleetView}, which owns it, as it was last added. */
final class WorkerContribution {
    /** Whether the sums contain the worker; the fields up to group hold what was added. */
    boolean isCounted;

    int kind;
    boolean silent;
    double capacity;
    double peerSlots;
    OthersLoadEstimate.Sample sample = OthersLoadEstimate.Sample.NONE;
    /** Its group; null: other dispatchers are assumed to send nothing here. */
    WorkerGroup group;
    /** Decay of the worker's mean of our own slots. */
    final DecayWeight ownSlotsDecay = new DecayWeight();
    /** When its next visit is due; the number of the refresh that visited it last. */
    long nextVisitAt = Long.MAX_VALUE;

    long visitedInRefresh = -1;
    /** Our slots here as last published to the other dispatchers. */
    int publishedSlots;
}
