package barrowshore.files;

import barrowshore.config.ConfigException;
import barrowshore.config.XmlFile;
import barrowshore.config.XmlFile.Element;
import barrowshore.list.OperatorServerList;
import barrowshore.list.OperatorServerList.Server;
import inet.ipaddr.AddressStringException;
import inet.ipaddr.HostName;
import inet.ipaddr.IPAddress;
import inet.ipaddr.IPAddressString;
import inet.ipaddr.ipv4.IPv4AddressTrie;
import inet.ipaddr.ipv6.IPv6AddressTrie;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Reads a list of servers that operators keep in a file, and checks it whole. It owns the reading alone: a file that is
 * wrong in one place is wrong, and says where. It must never look up a name: endpoints are addresses.
 */
public final class ServersFile {
    /** The largest file read: 10,000 servers are 1.5 MB. */
    public static final int MAX_BYTES = 8 << 20;
    /** The most servers in a file. */
    public static final int MAX_SERVERS = 20_000;

    private ServersFile() {}

    /** Reads a file; a {@link ConfigException} names line, column and element. */
    public static OperatorServerList read(Path file) {
        return of(file.toString(), XmlFile.read(file, ServersFile.class, "servers.xsd", MAX_BYTES));
    }

    /** Reads bytes as the file of that name. */
    public static OperatorServerList parse(String file, byte[] bytes) {
        return of(file, XmlFile.read(file, bytes, ServersFile.class, "servers.xsd", MAX_BYTES));
    }

    private static OperatorServerList of(String file, Element root) {
        IPv4AddressTrie four = new IPv4AddressTrie();
        IPv6AddressTrie six = new IPv6AddressTrie();
        Element networks = root.firstChildNamed("networks");
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
        List<Element> entries = root.childrenNamed("server");
        if (entries.size() > MAX_SERVERS) {
            throw root.error(file, entries.size() + " servers, over " + MAX_SERVERS);
        }
        Map<String, Server> servers = new LinkedHashMap<>();
        Map<InetSocketAddress, Server> ends = new HashMap<>();
        for (Element e : entries) {
            Server server = server(file, e, networks == null ? null : four, six);
            Server before = servers.put(server.uid(), server);
            if (before != null) {
                throw e.error(
                        file,
                        "uid " + server.uid() + " is in line " + before.line() + " already"
                                + (before.weight() != server.weight() ? ", with another weight" : ""));
            }
            before = ends.put(server.endpoint(), server);
            if (before != null) {
                throw e.error(
                        file,
                        "endpoint " + e.get("endpoint") + " is that of " + before.uid() + " in line " + before.line());
            }
        }
        return new OperatorServerList(
                file, (long) root.number("revision"), isTrue(root.get("force")), root.micros("grace"), servers);
    }

    private static IPAddress block(String file, Element e) {
        try {
            IPAddress block = new IPAddressString(e.get("block")).toAddress();
            if (block == null || block.isMultiple() && !block.isPrefixBlock()) {
                throw e.error(file, e.get("block") + " is no network; its host bits must be 0");
            }
            if (block.isPrefixed() && !block.isPrefixBlock()) {
                throw e.error(file, e.get("block") + " is no network; its host bits must be 0");
            }
            return block;
        } catch (AddressStringException wrong) {
            throw e.error(file, e.get("block") + " is no network");
        }
    }

    private static Server server(String file, Element e, IPv4AddressTrie four, IPv6AddressTrie six) {
        HostName host = new HostName(e.get("endpoint"));
        if (!host.isValid()
                || !host.isAddress()
                || host.getPort() == null
                || host.asAddress().isMultiple()) {
            throw e.error(file, "endpoint " + e.get("endpoint") + " is not address:port");
        }
        IPAddress address = host.asAddress();
        boolean inside = four == null
                || (address.isIPv4() ? four.elementContains(address.toIPv4()) : six.elementContains(address.toIPv6()));
        if (!inside) {
            throw e.error(file, "endpoint " + e.get("endpoint") + " is in none of the networks");
        }
        return new Server(
                e.get("uid"),
                new InetSocketAddress(address.toInetAddress(), host.getPort()),
                e.get("hall"),
                e.get("model"),
                e.number("weight"),
                (int) e.number("cell"),
                "drain".equals(e.get("state")),
                isTrue(e.get("warm")),
                e.line());
    }

    private static boolean isTrue(String text) {
        return "true".equals(text) || "1".equals(text);
    }
}
