package barrowshore;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;

/** The policy files named in deploy/balancer.toml lie in the decision module and keep to its line width. */
class ModuleSizeTest {
    private static final Path MODULE = Path.of("src/main/java/barrowshore/module");
    private static final int MAX_COLUMNS = 110;

    @Test
    void policyFilesLieInTheModuleAndKeepToItsLineWidth() throws IOException {
        String deploy = Files.readString(Path.of("deploy/balancer.toml"));
        Matcher policy = Pattern.compile("policy = \\[(.*)]").matcher(deploy);
        assertTrue(policy.find(), "deploy/balancer.toml names no policy");
        for (String name : policy.group(1).split(",")) {
            Path file = Path.of(name.trim().replace("\"", ""));
            assertEquals(MODULE, file.getParent(), file + " is not in the decision module");
            int lines = 0;
            for (String line : Files.readAllLines(file)) {
                assertTrue(line.length() <= MAX_COLUMNS, file + ": " + line);
                lines += line.isBlank() ? 0 : 1;
            }
            assertTrue(lines > 0, file + " holds no lines");
        }
    }
}
