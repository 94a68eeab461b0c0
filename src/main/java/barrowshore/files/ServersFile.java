package barrowshore.files;

import barrowshore.config.ConfigException;
import barrowshore.config.XmlFile;
import barrowshore.config.XmlFile.Element;
import barrowshore.list.ServerList;
import inet.ipaddr.AddressStringException;
import inet.ipaddr.HostName;
import inet.ipaddr.IPAddress;
import inet.ipaddr.IPAddressString;
import inet.ipaddr.ipv4.IPv4AddressTrie;
import inet.ipaddr.ipv6.IPv6AddressTrie;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A list of real servers that operators keep in a file, read and checked whole. It owns the reading alone: a file that is
 * wrong in one place is wrong, and says where. It must never look up a name: endpoints are addresses.
 */
public final class ServersFile {
    /** The largest file read: 10,000 servers are 1.5 MB. */
    public static final int MOST_BYTES = 8 << 20;
    /** The most servers in a file. */
    public static final int MOST_SERVERS = 20_000;

    /** One server, as the file says. */
    public record Server(String uid, InetSocketAddress endpoint, String hall, String model, double weight, int cell,
                         boolean drains, boolean warm, int line) {
        /** Whether two entries say the same; where they stand does not count. */
        boolean same(Server other) {
            return uid.equals(other.uid) && endpoint.equals(other.endpoint) && hall.equals(other.hall)
                    && model.equals(other.model) && weight == other.weight && cell == other.cell
                    && drains == other.drains && warm == other.warm;
        }
    }

    private final String name;
    private final long revision;
    private final boolean force;
    private final long grace;
    private final Map<String, Server> servers;

    private ServersFile(String name, long revision, boolean force, long grace, Map<String, Server> servers) {
        this.name = name;
        this.revision = revision;
        this.force = force;
        this.grace = grace;
        this.servers = servers;
    }

    /** Reads a file; a {@link ConfigException} names line, column and element. */
    public static ServersFile read(Path file) {
        return of(file.toString(), XmlFile.read(file, ServersFile.class, "servers.xsd", MOST_BYTES));
    }

    /** Reads bytes as the file of that name. */
    public static ServersFile parse(String file, byte[] bytes) {
        return of(file, XmlFile.read(file, bytes, ServersFile.class, "servers.xsd", MOST_BYTES));
    }

    private static ServersFile of(String file, Element root) {
        IPv4AddressTrie four = new IPv4AddressTrie();
        IPv6AddressTrie six = new IPv6AddressTrie();
        Element networks = root.one("networks");
        if (networks != null) {
            for (Element e : networks.children()) {
                IPAddress block = block(file, e);
                if (block.isIPv4()) {
                    four.add(block.toIPv4());
                } else {
                    six.add(block.toIPv6());
                }
            }
        }
        List<Element> entries = root.all("server");
        if (entries.size() > MOST_SERVERS) {
            throw root.wrong(file, entries.size() + " servers, over " + MOST_SERVERS);
        }
        Map<String, Server> servers = new LinkedHashMap<>();
        Map<InetSocketAddress, Server> ends = new HashMap<>();
        for (Element e : entries) {
            Server server = server(file, e, networks == null ? null : four, six);
            Server before = servers.put(server.uid, server);
            if (before != null) {
                throw e.wrong(file, "uid " + server.uid + " is in line " + before.line + " already"
                        + (before.weight != server.weight ? ", with another weight" : ""));
            }
            before = ends.put(server.endpoint, server);
            if (before != null) {
                throw e.wrong(file, "endpoint " + e.get("endpoint") + " is that of " + before.uid + " in line "
                        + before.line);
            }
        }
        return new ServersFile(file, (long) root.number("revision"), isTrue(root.get("force")), root.micros("grace"),
                servers);
    }

    private static IPAddress block(String file, Element e) {
        try {
            IPAddress block = new IPAddressString(e.get("block")).toAddress();
            if (block == null || block.isMultiple() && !block.isPrefixBlock()) {
                throw e.wrong(file, e.get("block") + " is no network; its host bits must be 0");
            }
            if (block.isPrefixed() && !block.isPrefixBlock()) {
                throw e.wrong(file, e.get("block") + " is no network; its host bits must be 0");
            }
            return block;
        } catch (AddressStringException wrong) {
            throw e.wrong(file, e.get("block") + " is no network");
        }
    }

    private static Server server(String file, Element e, IPv4AddressTrie four, IPv6AddressTrie six) {
        HostName host = new HostName(e.get("endpoint"));
        if (!host.isValid() || !host.isAddress() || host.getPort() == null || host.asAddress().isMultiple()) {
            throw e.wrong(file, "endpoint " + e.get("endpoint") + " is not address:port");
        }
        IPAddress address = host.asAddress();
        boolean inside = four == null || (address.isIPv4() ? four.elementContains(address.toIPv4())
                : six.elementContains(address.toIPv6()));
        if (!inside) {
            throw e.wrong(file, "endpoint " + e.get("endpoint") + " is in none of the networks");
        }
        return new Server(e.get("uid"), new InetSocketAddress(address.toInetAddress(), host.getPort()), e.get("hall"),
                e.get("model"), e.number("weight"), (int) e.number("cell"), "drain".equals(e.get("state")),
                isTrue(e.get("warm")), e.line());
    }

    private static boolean isTrue(String text) {
        return "true".equals(text) || "1".equals(text);
    }

    public String name() {
        return name;
    }

    public long revision() {
        return revision;
    }

    /** Whether the operators mean it, however much it takes away. */
    public boolean force() {
        return force;
    }

    /** How long what the file no longer names drains before it is gone, microseconds. */
    public long grace() {
        return grace;
    }

    public Map<String, Server> servers() {
        return servers;
    }

    /** Whether it names the same servers in the same way. */
    public boolean same(ServersFile other) {
        return servers.size() == other.servers.size() && servers.values().stream().allMatch(s ->
                other.servers.containsKey(s.uid) && s.same(other.servers.get(s.uid)));
    }

    /**
     * The file as a list for a scheduler with these names. bootMicros: when a server that is not said to be warm counts
     * as started, so that it is cold; by its uid. An unknown hall or model is an error.
     */
    public ServerList.Update update(ServerList.Names names, java.util.function.ToLongFunction<Server> bootMicros) {
        List<ServerList.Entry> entries = new ArrayList<>();
        for (Server s : servers.values()) {
            int zone = names.zones().indexOf(s.hall);
            int kind = names.kinds().indexOf(s.model);
            if (zone < 0 && !names.zones().isEmpty()) {
                throw new ConfigException(name + ": line " + s.line + ": server: hall " + s.hall
                        + " is none of the zones " + String.join(", ", names.zones()));
            }
            if (kind < 0 && !names.kinds().isEmpty()) {
                throw new ConfigException(name + ": line " + s.line + ": server: model " + s.model
                        + " is none of the kinds " + String.join(", ", names.kinds()));
            }
            // A weight of 0 takes nothing new, and finishes what it has: that is what a drain is.
            ServerList.State state = s.drains || s.weight == 0 ? ServerList.State.TERMINATING : ServerList.State.READY;
            entries.add(new ServerList.Entry(s.uid, s.endpoint.getAddress().getHostAddress() + ":"
                    + s.endpoint.getPort(), s.endpoint, zone, Math.max(0, kind), s.cell, state, s.weight,
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
