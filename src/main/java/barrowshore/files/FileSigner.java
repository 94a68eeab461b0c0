package barrowshore.files;

import barrowshore.config.ConfigException;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.attribute.PosixFilePermission;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.EnumSet;
import java.util.HexFormat;
import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Signs and verifies files by HMAC-SHA-256 over their bytes. {@code FILE.mac} has a line "key-id hex" for each key; one
 * valid line is enough, so that two keys can be in use while keys are rotated. Keys are read from their files each time; one
 * that group or others may access is not used.
 */
public final class FileSigner {
    private static final String ALGORITHM = "HmacSHA256";
    private static final Pattern KEY_ID = Pattern.compile("[0-9A-Za-z._-]{1,32}");
    private static final int MIN_KEY_BYTES = 32;

    private static final int MAX_MAC_FILE_BYTES = 4096;
    private static final Set<PosixFilePermission> GROUP_AND_OTHERS = EnumSet.of(
            PosixFilePermission.GROUP_READ,
            PosixFilePermission.GROUP_WRITE,
            PosixFilePermission.GROUP_EXECUTE,
            PosixFilePermission.OTHERS_READ,
            PosixFilePermission.OTHERS_WRITE,
            PosixFilePermission.OTHERS_EXECUTE);

    private final Path keyDirectory;

    /** A signer with the keys of a directory: a file {@code ID.key} for each, in hexadecimal. */
    public FileSigner(Path keyDirectory) {
        this.keyDirectory = keyDirectory;
    }

    private static Path macFile(Path file) {
        return file.resolveSibling(file.getFileName() + ".mac");
    }

    private byte[] readKey(String id) {
        if (!KEY_ID.matcher(id).matches()) {
            throw new ConfigException("key id " + id + " is not a word of at most 32 letters and digits");
        }
        Path file = keyDirectory.resolve(id + ".key");
        try {
            if (Files.getPosixFilePermissions(file).stream().anyMatch(GROUP_AND_OTHERS::contains)) {
                throw new ConfigException("key " + file + " can be read by others than its owner; it is not used");
            }
            byte[] key = HexFormat.of().parseHex(Files.readString(file).strip());
            if (key.length < MIN_KEY_BYTES) {
                throw new ConfigException("key " + file + " is shorter than " + MIN_KEY_BYTES + " bytes");
            }
            return key;
        } catch (IOException | UnsupportedOperationException e) {
            throw new ConfigException(
                    "key " + file + " cannot be read: " + e.getClass().getSimpleName());
        } catch (IllegalArgumentException e) {
            throw e instanceof ConfigException ? e : new ConfigException("key " + file + " is not hexadecimal");
        }
    }

    private byte[] computeMac(String id, byte[] bytes) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(new SecretKeySpec(readKey(id), ALGORITHM));
            return mac.doFinal(bytes);
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Writes {@code FILE.mac} with a MAC by each of the keys; the file is replaced atomically. */
    public void sign(Path file, List<String> keyIds) {
        try {
            byte[] bytes = Files.readAllBytes(file);
            StringBuilder lines = new StringBuilder();
            for (String id : keyIds) {
                lines.append(id)
                        .append(' ')
                        .append(HexFormat.of().formatHex(computeMac(id, bytes)))
                        .append('\n');
            }
            Path temporaryFile = file.resolveSibling(file.getFileName() + ".mac.new");
            Files.writeString(temporaryFile, lines);
            Files.move(
                    temporaryFile, macFile(file), StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        } catch (IOException e) {
            throw new ConfigException(
                    file + " cannot be signed: " + e.getClass().getSimpleName());
        }
    }

    /** Checks a file's content against {@code FILE.mac}; a {@link ConfigException} says why no MAC is valid. */
    public void verify(Path file, byte[] bytes) {
        String text;
        try {
            if (Files.size(macFile(file)) > MAX_MAC_FILE_BYTES) {
                throw new ConfigException(macFile(file) + " is over " + MAX_MAC_FILE_BYTES + " bytes");
            }
            text = Files.readString(macFile(file), StandardCharsets.US_ASCII);
        } catch (IOException e) {
            throw new ConfigException(
                    macFile(file) + " cannot be read: " + e.getClass().getSimpleName());
        }
        String reason = "it holds no MAC";
        for (String line : text.lines().toList()) {
            String[] words = line.strip().split(" +");
            if (words.length != 2) {
                reason = "it has a line that is not 'key-id hex'";
                continue;
            }
            try {
                if (MessageDigest.isEqual(
                        computeMac(words[0], bytes), HexFormat.of().parseHex(words[1]))) {
                    return;
                }
                reason = "its MAC by key " + words[0] + " is not that of the file";
            } catch (ConfigException e) {
                reason = e.getMessage();
            } catch (IllegalArgumentException e) {
                reason = "its MAC by key " + words[0] + " is not hexadecimal";
            }
        }
        throw new ConfigException(macFile(file) + ": " + reason);
    }
}
