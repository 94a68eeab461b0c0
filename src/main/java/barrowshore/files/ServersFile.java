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
 * Reads and checks a server list that operators maintain in an XML file. One error refuses the whole file and is reported
 * with its place. Endpoints are IP addresses; host names are refused, so nothing is resolved here.
 */
public final class ServersFile {
    /** The limit on a file's size: 10,000 servers take 1.5 MB. */
    public static final int MAX_BYTES = 8 << 20;
    /** The limit on the servers in a file. */
    public static final int MAX_SERVERS = 20_000;

    private ServersFile() {}

    /** Reads a file; a {@link ConfigException} names line, column and element. */
    public static OperatorServerList read(Path file) {
        return toServerList(file.toString(), XmlFile.read(file, ServersFile.class, "servers.xsd", MAX_BYTES));
    }

    /** Parses the content of the named file. */
    public static OperatorServerList parse(String file, byte[] bytes) {
        return toServerList(file, XmlFile.read(file, bytes, ServersFile.class, "servers.xsd", MAX_BYTES));
    }

    private static OperatorServerList toServerList(String file, Element root) {
        IPv4AddressTrie ipv4Networks = new IPv4AddressTrie();
        IPv6AddressTrie ipv6Networks = new IPv6AddressTrie();
        Element networks = root.firstChildNamed("networks");
        if (networks != null) {
            for (Element element : networks.children()) {
                IPAddress network = parseNetwork(file, element);
                if (network.isIPv4()) {
                    ipv4Networks.add(network.toIPv4());
                } else {
                    ipv6Networks.add(network.toIPv6());
                }
            }
        }
        List<Element> entries = root.childrenNamed("server");
        if (entries.size() > MAX_SERVERS) {
            throw root.error(file, entries.size() + " servers, over " + MAX_SERVERS);
        }
        Map<String, Server> servers = new LinkedHashMap<>();
        Map<InetSocketAddress, Server> serversByEndpoint = new HashMap<>();
        for (Element element : entries) {
            Server server = parseServer(file, element, networks == null ? null : ipv4Networks, ipv6Networks);
            Server earlier = servers.put(server.uid(), server);
            if (earlier != null) {
                throw element.error(
                        file,
                        "uid " + server.uid() + " is in line " + earlier.line() + " already"
                                + (earlier.weight() != server.weight() ? ", with another weight" : ""));
            }
            earlier = serversByEndpoint.put(server.endpoint(), server);
            if (earlier != null) {
                throw element.error(
                        file,
                        "endpoint " + element.get("endpoint") + " is that of " + earlier.uid() + " in line "
                                + earlier.line());
            }
        }
        return new OperatorServerList(
                file, (long) root.number("revision"), isTrue(root.get("force")), root.micros("grace"), servers);
    }

    private static IPAddress parseNetwork(String file, Element element) {
        try {
            IPAddress network = new IPAddressString(element.get("block")).toAddress();
            if (network == null || network.isMultiple() && !network.isPrefixBlock()) {
                throw element.error(file, element.get("block") + " is no network; its host bits must be 0");
            }
            if (network.isPrefixed() && !network.isPrefixBlock()) {
                throw element.error(file, element.get("block") + " is no network; its host bits must be 0");
            }
            return network;
        } catch (AddressStringException cause) {
            throw element.error(file, element.get("block") + " is no network");
        }
    }

    private static Server parseServer(
            String file, Element element, IPv4AddressTrie ipv4Networks, IPv6AddressTrie ipv6Networks) {
        HostName host = new HostName(element.get("endpoint"));
        if (!host.isValid()
                || !host.isAddress()
                || host.getPort() == null
                || host.asAddress().isMultiple()) {
            throw element.error(file, "endpoint " + element.get("endpoint") + " is not address:port");
        }
        IPAddress address = host.asAddress();
        boolean inNetworks = ipv4Networks == null
                || (address.isIPv4()
                        ? ipv4Networks.elementContains(address.toIPv4())
                        : ipv6Networks.elementContains(address.toIPv6()));
        if (!inNetworks) {
            throw element.error(file, "endpoint " + element.get("endpoint") + " is in none of the networks");
        }
        return new Server(
                element.get("uid"),
                new InetSocketAddress(address.toInetAddress(), host.getPort()),
                element.get("hall"),
                element.get("model"),
                element.number("weight"),
                (int) element.number("cell"),
                "drain".equals(element.get("state")),
                isTrue(element.get("warm")),
                element.line());
    }

    private static boolean isTrue(String text) {
        return "true".equals(text) || "1".equals(text);
    }
}
