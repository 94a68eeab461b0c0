package barrowshore.upgrade;

import barrowshore.list.ServerList.ZoneKindNames;
import barrowshore.list.ServerListMessage;
import barrowshore.net.Mailbox;
import java.io.IOException;
import java.lang.System.Logger.Level;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.function.Consumer;

/**
 * The server list as this process knows it, in a file that the next process of this scheduler reads: it needs the list also
 * where this process has died or hangs by then. The file holds the whole list and changes after it, a line of JSON each, and
 * is written anew once the changes are longer than that.
 *
 * <p>An actor that owns its open file. A new process replaces the file by its own, so that two never write to the same one.
 * Failures never keep a scheduler from serving: the file is then no longer written.
 */
public final class SavedServerList {
    private static final System.Logger LOG = System.getLogger(SavedServerList.class.getName());
    /** So many bytes of changes are kept however short the whole list is. */
    private static final long MIN_CHANGES_BYTES = 64 * 1024;
    /** A longer file is not read. */
    private static final long MAX_FILE_BYTES = 8L << 20;

    private static final char LINE_END = '\n';

    private final Path file;
    private final ZoneKindNames names;
    private final Mailbox mailbox;
    /** Passes on the whole list as it is known by then, if there is any. */
    private final Consumer<Consumer<ServerListMessage>> wholeList;

    /** The file as this process has written it; null: not yet, or never again. */
    private FileChannel channel;

    private long wholeListBytes;
    private long changesBytes;
    private boolean rewriting;
    private boolean stopped;

    /** wholeList: passes the list known at present to a consumer, if there is any. */
    public SavedServerList(
            Path file, ZoneKindNames names, Executor pool, Consumer<Consumer<ServerListMessage>> wholeList) {
        this.file = file;
        this.names = names;
        this.mailbox = new Mailbox("the saved server list", pool);
        this.wholeList = wholeList;
    }

    /** Reads what another process has saved; empty if nothing. A line that is not whole, and all after it, is left out. */
    public List<ServerListMessage> read() {
        List<ServerListMessage> messages = new ArrayList<>();
        try {
            String text = Files.size(file) > MAX_FILE_BYTES ? "" : Files.readString(file);
            int start = 0;
            for (int end = text.indexOf(LINE_END); end >= 0; end = text.indexOf(LINE_END, start)) {
                messages.add(ServerListMessage.parse(text.substring(start, end), names));
                start = end + 1;
            }
        } catch (IOException | RuntimeException e) {
            LOG.log(Level.DEBUG, "no saved server list, or only a part of it", e);
        }
        return messages;
    }

    /** Saves what this process has been told of the list. */
    public void update(ServerListMessage message) {
        mailbox.post(() -> {
            if (channel != null) {
                changesBytes += append(message);
            }
            if (channel == null
                    || message.update().full()
                    || changesBytes > Math.max(MIN_CHANGES_BYTES, wholeListBytes)) {
                requestWholeList();
            }
        });
    }

    /** Writes the whole list again, in place of a file that another process has written. */
    public void rewrite() {
        mailbox.post(this::requestWholeList);
    }

    private void requestWholeList() {
        if (!rewriting && !stopped) {
            rewriting = true;
            wholeList.accept(message -> mailbox.post(() -> replaceFile(message)));
        }
    }

    private void replaceFile(ServerListMessage whole) {
        rewriting = false;
        Path newFile = file.resolveSibling(
                file.getFileName() + "." + ProcessHandle.current().pid());
        close();
        try {
            channel = FileChannel.open(
                    newFile, StandardOpenOption.CREATE, StandardOpenOption.TRUNCATE_EXISTING, StandardOpenOption.WRITE);
            wholeListBytes = append(whole);
            changesBytes = 0;
            if (stopped) {
                return;
            }
            Files.move(newFile, file, StandardCopyOption.ATOMIC_MOVE);
        } catch (IOException | RuntimeException e) {
            giveUp(e);
        }
    }

    /** Returns the number of bytes written. */
    private long append(ServerListMessage message) {
        ByteBuffer bytes = ByteBuffer.wrap((message.toJson(names) + LINE_END).getBytes(StandardCharsets.UTF_8));
        long length = bytes.remaining();
        try {
            while (bytes.hasRemaining()) {
                channel.write(bytes);
            }
        } catch (IOException e) {
            giveUp(e);
        }
        return length;
    }

    private void giveUp(Exception cause) {
        if (!stopped) {
            stopped = true;
            LOG.log(
                    Level.WARNING,
                    "the server list can''t be saved; a new version may start with an older one if this process hangs: {0}",
                    cause.getMessage());
        }
        close();
    }

    private void close() {
        if (channel != null) {
            try {
                channel.close();
            } catch (IOException e) {
                LOG.log(Level.DEBUG, "closing the saved server list failed", e);
            }
            channel = null;
        }
    }

    /** Writes no more; the file stays for the next process. */
    public void stop() {
        mailbox.post(() -> {
            stopped = true;
            close();
        });
    }
}
