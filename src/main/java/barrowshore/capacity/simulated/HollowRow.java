package barrowshore.capacity.simulated;

import java.util.Locale;

/**
 * What one scheduler used while it was measured, a second. percent: of a core; control and requests NaN where they cannot
 * be told apart by it alone; bytes with the heads of IP and UDP or TCP. Memory and open files of a hollow
 * one are its process's, which holds all of them and the workers.
 */
record HollowRow(
        int scheduler,
        Role role,
        double percent,
        double controlPercent,
        double requestsPercent,
        double residentMib,
        double mostResidentMib,
        int files,
        double datagramsOut,
        double bytesOut,
        double datagramsIn,
        double bytesIn,
        double discoveryBytes,
        double starts) {
    /** What a scheduler is in the run. QUIET: a real one that no client talks to; REPLACED: its figures hold its start. */
    enum Role {
        QUIET,
        REAL,
        REAL_REPLACED,
        HOLLOW,
        HOLLOW_REPLACED;

        boolean hollow() {
            return this == HOLLOW || this == HOLLOW_REPLACED;
        }

        String text() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    static final String HEAD = "scheduler,role,core_percent,control_percent,requests_percent,rss_mib,hwm_mib,files,"
            + "datagrams_out,bytes_out,datagrams_in,bytes_in,discovery_bytes,starts";

    String csv() {
        return String.format(
                Locale.ROOT,
                "%d,%s,%.3f,%.3f,%.3f,%.1f,%.1f,%d,%.1f,%.0f,%.1f,%.0f,%.0f,%.2f",
                scheduler,
                role.text(),
                percent,
                controlPercent,
                requestsPercent,
                residentMib,
                mostResidentMib,
                files,
                datagramsOut,
                bytesOut,
                datagramsIn,
                bytesIn,
                discoveryBytes,
                starts);
    }

    /** Bytes of control both ways. */
    double controlBytes() {
        return bytesOut + bytesIn + discoveryBytes;
    }
}
