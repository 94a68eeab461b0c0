package barrowshore.module;

import java.util.HashMap;
import java.util.Map;

/**
 * The index tables worked out so far, by shape; it decides nothing. A table is a pure function of its shape, so many
 * dispatchers of one thread may share this without knowing more of one another. Not thread-safe.
 */
public final class IndexTableCache {
    private record TableShape(int slots, int bound, double load) {}

    private final Map<TableShape, IndexTable> tables = new HashMap<>();

    /** The table of a shape, worked out the first time. */
    IndexTable get(int slots, int bound, double load) {
        return tables.computeIfAbsent(new TableShape(slots, bound, load), s -> new IndexTable(slots, bound, load));
    }
}
