package barrowshore.list;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.ToLongFunction;

/**
 * A list of servers as operators write one by hand, whatever it was read from. It owns this form alone: pure, checked
 * by its reader, and judged by {@link ServerListChangePolicy}. revision: goes up with each change; force: the operators
 * mean it, however much it takes away; grace: how long what it no longer names drains before it is gone, microseconds;
 * servers: by uid.
 */
public record OperatorServerList(String name, long revision, boolean force, long grace, Map<String, Server> servers) {
    /** One server, as the file says. */
    public record Server(
            String uid,
            InetSocketAddress endpoint,
            String hall,
            String model,
            double weight,
            int cell,
            boolean drains,
            boolean warm,
            int line) {
        /** Whether two entries say the same; where they stand does not count. */
        boolean same(Server other) {
            return uid.equals(other.uid)
                    && endpoint.equals(other.endpoint)
                    && hall.equals(other.hall)
                    && model.equals(other.model)
                    && weight == other.weight
                    && cell == other.cell
                    && drains == other.drains
                    && warm == other.warm;
        }
    }

    /** Whether it names the same servers in the same way. */
    public boolean same(OperatorServerList other) {
        return servers.size() == other.servers.size()
                && servers.values().stream()
                        .allMatch(s -> other.servers.containsKey(s.uid) && s.same(other.servers.get(s.uid)));
    }

    /**
     * The file as a list for a scheduler with these names. bootMicros: when a server that is not said to be warm counts
     * as started, so that it is cold; by its uid. An unknown hall or model is an error.
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
            // A weight of 0 takes nothing new, and finishes what it has: that is what a drain is.
            ServerList.State state = s.drains || s.weight == 0 ? ServerList.State.TERMINATING : ServerList.State.READY;
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

    /** One line for a person. */
    public String summary() {
        return "revision " + revision + ", " + servers.size() + " servers in "
                + servers.values().stream().map(Server::hall).distinct().count() + " halls"
                + (force ? ", forced" : "");
    }
}
