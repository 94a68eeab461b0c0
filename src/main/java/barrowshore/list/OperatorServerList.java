package barrowshore.list;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.ToLongFunction;

/**
 * A server list written by operators, as read from its file. Its reader validates it, and {@link ServerListChangePolicy}
 * decides whether it is used.
 *
 * @param name the file's name in error messages
 * @param revision increases with each change
 * @param force confirms a change however much capacity it removes
 * @param grace microseconds for which a server that the list no longer names drains before it is removed
 * @param servers by uid
 */
public record OperatorServerList(String name, long revision, boolean force, long grace, Map<String, Server> servers) {
    /** One server of the file; line: its line there, for error messages. */
    public record Server(
            String uid,
            InetSocketAddress endpoint,
            String hall,
            String model,
            double weight,
            int cell,
            boolean draining,
            boolean warm,
            int line) {
        /** Whether two entries are equal apart from their line in the file. */
        boolean equalsIgnoringLine(Server other) {
            return uid.equals(other.uid)
                    && endpoint.equals(other.endpoint)
                    && hall.equals(other.hall)
                    && model.equals(other.model)
                    && weight == other.weight
                    && cell == other.cell
                    && draining == other.draining
                    && warm == other.warm;
        }
    }

    /** Whether both lists have the same servers with the same attributes. */
    public boolean hasSameServers(OperatorServerList other) {
        return servers.size() == other.servers.size()
                && servers.values().stream()
                        .allMatch(s ->
                                other.servers.containsKey(s.uid) && s.equalsIgnoringLine(other.servers.get(s.uid)));
    }

    /**
     * Converts the file to a list for a scheduler with these zone and kind names.
     *
     * @param bootMicros the assumed start of a server that is not marked warm, which makes it cold
     * @throws IllegalArgumentException for a hall or model that the settings do not have
     */
    public ServerList.Update toUpdate(ServerList.ZoneKindNames names, ToLongFunction<Server> bootMicros) {
        List<ServerList.Entry> entries = new ArrayList<>();
        for (Server s : servers.values()) {
            int zone = names.zones().indexOf(s.hall);
            int kind = names.kinds().indexOf(s.model);
            if (zone < 0 && !names.zones().isEmpty()) {
                throw new IllegalArgumentException(name + ": line " + s.line + ": server: hall " + s.hall
                        + " is none of the zones " + String.join(", ", names.zones()));
            }
            if (kind < 0 && !names.kinds().isEmpty()) {
                throw new IllegalArgumentException(name + ": line " + s.line + ": server: model " + s.model
                        + " is none of the kinds " + String.join(", ", names.kinds()));
            }
            // A server of weight 0 gets no new jobs and finishes those it has, which is a drain.
            ServerList.State state =
                    s.draining || s.weight == 0 ? ServerList.State.TERMINATING : ServerList.State.READY;
            entries.add(new ServerList.Entry(
                    s.uid,
                    s.endpoint.getAddress().getHostAddress() + ":" + s.endpoint.getPort(),
                    s.endpoint,
                    zone,
                    Math.max(0, kind),
                    s.cell,
                    state,
                    s.weight,
                    s.warm ? 0 : bootMicros.applyAsLong(s)));
        }
        return new ServerList.Update(revision, true, entries);
    }

    /** A one-line summary for operators. */
    public String summary() {
        return "revision " + revision + ", " + servers.size() + " servers in "
                + servers.values().stream().map(Server::hall).distinct().count() + " halls"
                + (force ? ", forced" : "");
    }
}
