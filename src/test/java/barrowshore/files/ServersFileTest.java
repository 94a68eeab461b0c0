package barrowshore.files;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import barrowshore.config.ConfigException;
import barrowshore.list.OperatorServerList;
import barrowshore.list.ServerList;
import barrowshore.list.ServerListChangePolicy;
import barrowshore.list.ServerListChangePolicy.Outcome;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Server list files: parsing, error messages, and the limits on changes between revisions. */
class ServersFileTest {
    private static final ServerList.ZoneKindNames NAMES =
            new ServerList.ZoneKindNames(List.of("hala-a", "hala-b"), List.of("plny-vykon", "usporny"));

    private static String validFile() {
        try {
            return Files.readString(Path.of("deploy/servers.xml"));
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private static OperatorServerList parse(String text) {
        return ServersFile.parse("f", text.getBytes(StandardCharsets.UTF_8));
    }

    @Example
    void theExampleIsReadCompletely() {
        OperatorServerList file = parse(validFile());
        assertThat(file.revision()).isEqualTo(1);
        assertThat(file.grace()).isEqualTo(10_000_000);
        ServerList.Update update = file.toUpdate(NAMES, s -> 42);
        assertThat(update.full()).isTrue();
        assertThat(update.entries()).hasSize(4).allMatch(e -> e.bootMicros() == 42);
        assertThat(update.entries().get(2)).satisfies(e -> {
            assertThat(e.address().getAddress().getAddress()).hasSize(16);
            assertThat(e.address().getPort()).isEqualTo(3000);
            assertThat(e.zone()).isEqualTo(1);
        });
        assertThat(update.entries().get(3).state()).isEqualTo(ServerList.State.TERMINATING);
    }

    @Example
    void aServerOfWeightZeroGetsNoNewJobs() {
        assertThat(parse(validFile().replaceFirst("weight=\"5\"", "weight=\"0\""))
                        .toUpdate(NAMES, s -> 0)
                        .entries()
                        .get(0)
                        .state())
                .isEqualTo(ServerList.State.TERMINATING);
    }

    @Example
    void errorsNameLineAndElement() {
        String[][] cases = {
            {"10.1.0.19", "10.2.0.19", "line 9, column 90: server: endpoint 10.2.0.19:3000 is in none of the networks"},
            {"fd00:1::21", "fd00:2::21", "endpoint [fd00:2::21]:3000 is in none of the networks"},
            {
                "uid=\"s-a2\"",
                "uid=\"s-a1\"",
                "line 9, column 90: server: uid s-a1 is in line 8 already, with another weight"
            },
            {"10.1.0.19:3000", "10.1.0.18:3000", "server: endpoint 10.1.0.18:3000 is that of s-a1 in line 8"},
            {"10.1.0.19:3000", "order-node:3000", "server: endpoint order-node:3000 is not address:port"},
            {"10.1.0.19:3000", "10.1.0.19", "server: endpoint 10.1.0.19 is not address:port"},
            {"10.1.0.0/16", "10.1.0.7/16", "line 5, column 35: network: 10.1.0.7/16 is no network"},
            {"10.1.0.0/16", "somewhere", "network: somewhere is no network"},
            {"weight=\"3\"", "weight=\"-3\"", "server: Value '-3'"},
            {"revision=\"1\"", "", "servers: Attribute 'revision' must appear"},
            {"</servers>", "", "line"},
            {"<servers ", "<!DOCTYPE servers [<!ENTITY a \"&b;&b;\">]><servers ", "DOCTYPE is disallowed"},
        };
        for (String[] testCase : cases) {
            String invalid = validFile().replaceFirst(java.util.regex.Pattern.quote(testCase[0]), testCase[1]);
            assertThat(invalid).isNotEqualTo(validFile());
            assertThatThrownBy(() -> parse(invalid))
                    .as(testCase[1])
                    .isInstanceOf(ConfigException.class)
                    .hasMessageStartingWith("f: ")
                    .hasMessageContaining(testCase[2])
                    .message()
                    .doesNotContain("\n");
        }
        assertThatThrownBy(() -> parse(validFile().replace("hala-b", "hala-z")).toUpdate(NAMES, s -> 0))
                .hasMessageContaining("line 10: server: hall hala-z is none of the zones");
    }

    @Example
    void anUpdateThatRemovesTooMuchIsHeldUntilForced() {
        OperatorServerList inUse = parse(validFile());
        String withoutOneServer =
                validFile().replace("revision=\"1\"", "revision=\"2\"").replaceFirst("(?m)^.*s-a1.*\\n", "");
        assertThat(ServerListChangePolicy.decide(inUse, parse(withoutOneServer), 0.5)
                        .outcome())
                .isEqualTo(Outcome.TAKEN);
        assertThat(ServerListChangePolicy.decide(inUse, parse(withoutOneServer), 0.3)
                        .outcome())
                .isEqualTo(Outcome.HELD);
        assertThat(ServerListChangePolicy.decide(
                                inUse,
                                parse(withoutOneServer.replace("revision=\"2\"", "revision=\"3\" force=\"true\"")),
                                0.3)
                        .outcome())
                .isEqualTo(Outcome.TAKEN);
        String withoutHall = withoutOneServer.replaceFirst("(?m)^.*s-a2.*\\n", "");
        assertThat(ServerListChangePolicy.decide(inUse, parse(withoutHall), 1)).satisfies(v -> {
            assertThat(v.outcome()).isEqualTo(Outcome.HELD);
            assertThat(v.reason()).contains("hall hala-a empty");
        });
        String withoutServers =
                validFile().replace("revision=\"1\"", "revision=\"2\"").replaceAll("(?m)^.*<server .*\\n", "");
        assertThat(ServerListChangePolicy.decide(inUse, parse(withoutServers), 1)
                        .outcome())
                .isEqualTo(Outcome.HELD);
        assertThat(ServerListChangePolicy.decide(null, parse(withoutServers), 1).outcome())
                .isEqualTo(Outcome.HELD);
    }

    @Example
    void revisionsNeverGoBackNorChangeContent() {
        OperatorServerList revisionTwo = parse(validFile().replace("revision=\"1\"", "revision=\"2\""));
        assertThat(ServerListChangePolicy.decide(revisionTwo, parse(validFile()), 1)
                        .outcome())
                .isEqualTo(Outcome.REFUSED);
        assertThat(ServerListChangePolicy.decide(revisionTwo, revisionTwo, 1).outcome())
                .isEqualTo(Outcome.SAME);
        OperatorServerList sameRevisionOtherContent =
                parse(validFile().replace("revision=\"1\"", "revision=\"2\"").replace("weight=\"5\"", "weight=\"4\""));
        assertThat(ServerListChangePolicy.decide(revisionTwo, sameRevisionOtherContent, 1)
                        .outcome())
                .isEqualTo(Outcome.REFUSED);
        assertThat(ServerListChangePolicy.diff(revisionTwo, sameRevisionOtherContent))
                .hasSize(2)
                .allMatch(line -> line.startsWith("~ ") && line.contains("->"));
    }

    /** A damaged file is parsed as some complete list or refused by a {@link ConfigException}; no other exception occurs. */
    @Property(tries = 400, seed = "20261201")
    void damagedFilesAreRefusedOrParsed(@ForAll long seed) {
        Random random = new Random(seed);
        byte[] bytes = validFile().getBytes(StandardCharsets.UTF_8);
        switch (random.nextInt(3)) {
            case 0 -> bytes = java.util.Arrays.copyOf(bytes, random.nextInt(bytes.length));
            case 1 -> {
                for (int k = 0; k <= random.nextInt(4); k++) {
                    bytes[random.nextInt(bytes.length)] = (byte) random.nextInt(256);
                }
            }
            default -> {
                int from = random.nextInt(bytes.length), to = random.nextInt(bytes.length);
                System.arraycopy(bytes, Math.min(from, to), bytes, 0, Math.abs(from - to));
            }
        }
        try {
            assertThat(ServersFile.parse("f", bytes).servers().size()).isBetween(1, 4);
        } catch (ConfigException e) {
            assertThat(e.getMessage()).startsWith("f").doesNotContain("\n");
        }
    }
}
