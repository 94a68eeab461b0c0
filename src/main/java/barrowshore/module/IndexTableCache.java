package barrowshore.module;

import java.util.HashMap;
import java.util.Map;

/**
 * Caches index tables by their arguments. Tables are immutable, so the dispatchers of one thread may share a cache. Not
 * thread-safe.
 */
public final class IndexTableCache {
    private record TableShape(int slots, int bound, double load) {}

    private final Map<TableShape, IndexTable> tables = new HashMap<>();

    /** The table for these arguments, computed on first use. */
    IndexTable get(int slots, int bound, double load) {
        return tables.computeIfAbsent(new TableShape(slots, bound, load), s -> new IndexTable(slots, bound, load));
    }
}
