package barrowshore.capacity;

import java.lang.reflect.Array;
import java.lang.reflect.Field;
import java.lang.reflect.Modifier;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.Map;
import java.util.Set;

/**
 * The size of an object graph, found by following references: the entries of all collections, maps and object arrays,
 * and an estimate of the bytes, which unlike a difference in heap use is the same on every machine. Bytes are those of
 * a 64-bit JVM with compressed references.
 *
 * @param entries elements of all collections, maps and arrays of objects
 * @param bytes all objects, estimated
 */
record ObjectGraphSize(long entries, long bytes) {
    private static final int OBJECT_HEADER = 12, ARRAY_HEADER = 16, REFERENCE = 4, ALIGNMENT = 8;
    /** Bytes of a hash map's node with its table slot, and of an empty collection. */
    private static final int MAP_ENTRY = 32 + 8, CONTAINER = 48;

    private static final int BOXED = 16;

    /** Measures the graph reachable from the root, without the excluded object. */
    static ObjectGraphSize of(Object root, Object excluded) {
        return new Walk(excluded).from(root);
    }

    /** One traversal of an object graph. */
    private static final class Walk {
        private final Set<Object> seen = Collections.newSetFromMap(new IdentityHashMap<>());
        private final ArrayDeque<Object> waiting = new ArrayDeque<>();
        private long entries;
        private long bytes;

        Walk(Object excluded) {
            seen.add(excluded);
        }

        ObjectGraphSize from(Object root) {
            reach(root);
            while (!waiting.isEmpty()) {
                visit(waiting.poll());
            }
            return new ObjectGraphSize(entries, bytes);
        }

        private void reach(Object found) {
            if (found != null && !(found instanceof Enum) && !(found instanceof Class) && seen.add(found)) {
                waiting.add(found);
            }
        }

        private void visit(Object object) {
            if (object instanceof Map<?, ?> map) {
                entries += map.size();
                bytes += CONTAINER + (long) MAP_ENTRY * map.size();
                map.forEach((key, value) -> {
                    reach(key);
                    reach(value);
                });
            } else if (object instanceof Collection<?> collection) {
                entries += collection.size();
                bytes += CONTAINER + (long) REFERENCE * collection.size();
                collection.forEach(this::reach);
            } else if (object.getClass().isArray()) {
                array(object);
            } else if (object instanceof String text) {
                bytes += aligned(OBJECT_HEADER + REFERENCE + 5) + aligned(ARRAY_HEADER + text.length());
            } else if (object instanceof Number || object instanceof Boolean || object instanceof Character) {
                bytes += BOXED;
            } else {
                fields(object);
            }
        }

        private void array(Object array) {
            int length = Array.getLength(array);
            Class<?> component = array.getClass().getComponentType();
            bytes += aligned(ARRAY_HEADER + (long) length * size(component));
            if (array instanceof Object[] objects) {
                for (Object element : objects) {
                    entries += element == null ? 0 : 1;
                    reach(element);
                }
            }
        }

        private void fields(Object object) {
            long size = OBJECT_HEADER;
            for (Class<?> c = object.getClass(); c != Object.class && c != null; c = c.getSuperclass()) {
                for (Field field : c.getDeclaredFields()) {
                    if (!Modifier.isStatic(field.getModifiers())) {
                        size += size(field.getType());
                        reachField(field, object);
                    }
                }
            }
            bytes += aligned(size);
        }

        private void reachField(Field field, Object object) {
            if (field.getType().isPrimitive() || !isProjectType(field.getDeclaringClass())) {
                return;
            }
            try {
                field.setAccessible(true);
                reach(field.get(object));
            } catch (IllegalAccessException e) {
                throw new IllegalStateException(field + " is not accessible by reflection", e);
            }
        }

        /**
         * Returns whether fields of this type are followed: the JDK's objects are closed to reflection, and a lambda
         * holds next to nothing.
         */
        private static boolean isProjectType(Class<?> type) {
            return type.getName().startsWith("barrowshore.") && !type.isHidden();
        }

        private static int size(Class<?> type) {
            if (!type.isPrimitive()) {
                return REFERENCE;
            }
            if (type == long.class || type == double.class) {
                return Long.BYTES;
            }
            if (type == int.class || type == float.class) {
                return Integer.BYTES;
            }
            return type == short.class || type == char.class ? Short.BYTES : 1;
        }

        private static long aligned(long size) {
            return (size + ALIGNMENT - 1) / ALIGNMENT * ALIGNMENT;
        }
    }
}
