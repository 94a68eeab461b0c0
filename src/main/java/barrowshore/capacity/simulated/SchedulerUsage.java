package barrowshore.capacity.simulated;

import java.util.Locale;

/**
 * Resource usage of one scheduler over the measured period; rates are per second. CPU is in percent of a core;
 * controlPercent and requestsPercent are NaN where they cannot be told apart from this scheduler's figures alone. Bytes
 * include the IP and UDP or TCP headers. Memory and open files of a simulated scheduler are those of the whole process,
 * which holds all simulated schedulers and the workers.
 */
record SchedulerUsage(
        int scheduler,
        Role role,
        double corePercent,
        double controlPercent,
        double requestsPercent,
        double residentMib,
        double peakResidentMib,
        int openFiles,
        double datagramsOut,
        double bytesOut,
        double datagramsIn,
        double bytesIn,
        double discoveryBytes,
        double starts) {
    /**
     * Role of a scheduler in the run. HOLLOW is a simulated scheduler, QUIET a real one without clients. The figures of a
     * replaced scheduler include its restart.
     */
    enum Role {
        QUIET,
        REAL,
        REAL_REPLACED,
        HOLLOW,
        HOLLOW_REPLACED;

        boolean isSimulated() {
            return this == HOLLOW || this == HOLLOW_REPLACED;
        }

        String lowerCaseName() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    static final String CSV_HEADER =
            "scheduler,role,core_percent,control_percent,requests_percent,rss_mib,hwm_mib,files,"
                    + "datagrams_out,bytes_out,datagrams_in,bytes_in,discovery_bytes,starts";

    String toCsv() {
        return String.format(
                Locale.ROOT,
                "%d,%s,%.3f,%.3f,%.3f,%.1f,%.1f,%d,%.1f,%.0f,%.1f,%.0f,%.0f,%.2f",
                scheduler,
                role.lowerCaseName(),
                corePercent,
                controlPercent,
                requestsPercent,
                residentMib,
                peakResidentMib,
                openFiles,
                datagramsOut,
                bytesOut,
                datagramsIn,
                bytesIn,
                discoveryBytes,
                starts);
    }

    /** Bytes of control traffic per second, sent and received, including service discovery. */
    double controlBytesPerSecond() {
        return bytesOut + bytesIn + discoveryBytes;
    }
}
