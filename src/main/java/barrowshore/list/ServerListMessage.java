package barrowshore.list;

import barrowshore.list.ServerList.Update;
import barrowshore.list.ServerList.ZoneKindNames;
import barrowshore.wire.Json;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A part of service discovery's list as one process of a scheduler tells it to another one, or keeps it for the next.
 *
 * @param source the address of discovery whose revisions these are
 * @param baseRevision the revision to which the update's changes apply; without meaning where the update is full
 */
public record ServerListMessage(InetSocketAddress source, long baseRevision, Update update) {
    private static final String SOURCE = "discovery", BASE_REVISION = "after";

    /** The message as JSON on one line. names: of this process's settings, by which the entries are numbered. */
    public String toJson(ZoneKindNames names) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put(SOURCE, source.getHostString() + ":" + source.getPort());
        fields.put(BASE_REVISION, baseRevision);
        fields.putAll(ServerList.toJsonFields(update, names));
        return Json.write(fields);
    }

    /**
     * Reads what {@link #toJson} wrote; names: of this process's settings, which may differ from the writer's.
     *
     * @throws IllegalArgumentException if it is no such message
     */
    public static ServerListMessage parse(String json, ZoneKindNames names) {
        Map<?, ?> fields = Json.parseStrictObject(json);
        if (!(fields.get(SOURCE) instanceof String source)
                || !(fields.get(BASE_REVISION) instanceof Number baseRevision)) {
            throw new IllegalArgumentException("a server list without its source or base revision");
        }
        return new ServerListMessage(
                Json.parseAddress(source, SOURCE), baseRevision.longValue(), ServerList.parse(fields, names));
    }
}
