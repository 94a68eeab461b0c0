package barrowshore.files;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatCode;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Signing files and verifying them. */
class FileSignerTest {
    @TempDir
    Path dir;

    private Path file;
    private byte[] bytes;

    @BeforeEach
    void write() throws IOException {
        bytes = "what do ya want for nothing?".getBytes(StandardCharsets.US_ASCII);
        file = Files.write(dir.resolve("list"), bytes);
        writeKey("old", "11".repeat(32), "rw-------");
        writeKey("new", "22".repeat(40), "r--------");
    }

    private void writeKey(String id, String hex, String permissions) throws IOException {
        Path key = dir.resolve(id + ".key");
        Files.writeString(key, hex + "\n");
        Files.setPosixFilePermissions(key, PosixFilePermissions.fromString(permissions));
    }

    @Test
    void oneValidKeyIsEnoughDuringKeyRotation() throws IOException {
        FileSigner signer = new FileSigner(dir);
        signer.sign(file, List.of("old", "new"));
        assertThatCode(() -> signer.verify(file, bytes)).doesNotThrowAnyException();
        Files.delete(dir.resolve("old.key"));
        assertThatCode(() -> signer.verify(file, bytes)).doesNotThrowAnyException();
        Files.delete(dir.resolve("new.key"));
        assertThatThrownBy(() -> signer.verify(file, bytes)).hasMessageContaining("new.key cannot be read");
    }

    /** The expected value is openssl's HMAC of the same bytes and key. */
    @Test
    void theMacIsHmacSha256OverTheExactBytes() throws Exception {
        writeKey("rfc", "0b".repeat(32), "rw-------");
        new FileSigner(dir).sign(file, List.of("rfc"));
        assertThat(Files.readString(dir.resolve("list.mac")))
                .isEqualTo("rfc " + "c3f2649c34ea24e4d62a2c7e868bbea0233c9d4c2cc300794db76aa18d6822d8\n");
    }

    @Test
    void invalidSignaturesAreRefusedWithTheReason() throws IOException {
        FileSigner signer = new FileSigner(dir);
        assertThatThrownBy(() -> signer.verify(file, bytes)).hasMessageContaining("list.mac cannot be read");
        signer.sign(file, List.of("old"));
        byte[] changedBytes = bytes.clone();
        changedBytes[3] ^= 1;
        assertThatThrownBy(() -> signer.verify(file, changedBytes))
                .hasMessageContaining("by key old is not that of the file");
        writeKey("old", "11".repeat(32), "rw-r-----");
        assertThatThrownBy(() -> signer.verify(file, bytes))
                .hasMessageContaining("can be read by others than its owner");
        writeKey("short", "11", "rw-------");
        assertThatThrownBy(() -> signer.sign(file, List.of("short"))).hasMessageContaining("shorter than 32 bytes");
        assertThatThrownBy(() -> signer.sign(file, List.of("../x"))).hasMessageContaining("is not a word");
        for (String bad : List.of("", "old", "old zz\n", "old " + "00".repeat(32))) {
            Files.writeString(dir.resolve("list.mac"), bad);
            assertThatThrownBy(() -> signer.verify(file, bytes)).as(bad).hasMessageContaining("list.mac");
        }
    }
}
