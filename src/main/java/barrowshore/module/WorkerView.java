package barrowshore.module;

import barrowshore.module.FleetView.SameShape;

/** One worker's part in the sums of {@link FleetView}, as it was entered last; it decides nothing. */
final class WorkerView {
    /** Whether the worker is in the sums, and as which kind. */
    boolean counted;

    int kind;
    boolean silent;
    double capacity;
    double told;
    FleetLoad.Sample sample = FleetLoad.Sample.NONE;
    /** The workers that the others fill like this one; null: they send nothing here. */
    SameShape shape;
    /** What we have usually held here. */
    final Fade usual = new Fade();
    /** When it has to be looked at again, whatever happens; and the refresh that did so last. */
    long lookAt = Long.MAX_VALUE;

    long visitedIn = -1;
    /** Our slots here as the other dispatchers are to know them. */
    int published;
}
