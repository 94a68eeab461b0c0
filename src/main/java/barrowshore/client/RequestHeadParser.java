package barrowshore.client;

import barrowshore.memory.CountedBytes;
import barrowshore.module.DispatchApi;
import barrowshore.request.JobRequest;
import barrowshore.wire.SettingsReader;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Pattern;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;

/** Checks the head of an HTTP request and makes a job request of it. It reads no clock and no socket. */
final class RequestHeadParser {
    /** A request is answered this long before the client's deadline, to leave time for the answer's way back. */
    private static final long ANSWER_MARGIN_MICROS = 25_000;

    private static final double MAX_JOB_SLOTS = 64;
    private static final double MAX_WORK_HINT_MICROS = 1e9;
    private static final long MAX_TIMEOUT_MILLIS = 3_600_000;

    private static final Pattern REQUEST_ID_PATTERN = Pattern.compile("[0-9A-Za-z._-]{1,64}");
    private static final Pattern INTEGER = Pattern.compile("[0-9]{1,9}");
    private static final Pattern DECIMAL = Pattern.compile("[0-9]{1,10}(\\.[0-9]{1,9})?");
    /** The key is forwarded unchanged, so it must not hold anything that a server could read as the end of a line. */
    private static final Pattern KEY_PATTERN = Pattern.compile("[!-~]([ -~]*[!-~])?");

    private static final Pattern TARGET_PATTERN = Pattern.compile("/[A-Za-z0-9._~:/?\\[\\]@!$&'()*+,;=%-]{0,4095}");
    /** Headers that decide how a request is handled; a repeated one is ambiguous and rejected. */
    private static final List<String> SINGLE_VALUE_HEADERS =
            List.of("X-Request-ID", "X-Priority-Class", "X-Tenant-Id", "X-Timeout-Ms", "X-Attrs", "Idempotency-Key");
    /** The names of the headers that decide about a request, in any case. */
    private static final Set<String> HEADERS_READ = new TreeSet<>(String.CASE_INSENSITIVE_ORDER);

    static {
        HEADERS_READ.addAll(SINGLE_VALUE_HEADERS);
        HEADERS_READ.addAll(List.of("Content-Length", "Transfer-Encoding", "Expect", "X-Cost"));
    }

    /** So many headers of one name tell that it is repeated. */
    private static final int MAX_HEADERS_KEPT_PER_NAME = 2;

    private static final CountedBytes NO_BODY = CountedBytes.uncounted(new byte[0]);

    private final JobRules rules;
    private final String method;
    private final String target;
    private final HttpFields headers;

    /** headers: as {@link #keepIfRead} has kept them. */
    RequestHeadParser(JobRules rules, String method, String target, HttpFields headers) {
        this.rules = rules;
        this.method = method;
        this.target = target;
        this.headers = headers;
    }

    /** Adds a header if it is one of those that decide about a request, twice at most: that tells that it is repeated. */
    static void keepIfRead(HttpField field, HttpFields.Mutable headers) {
        if (!HEADERS_READ.contains(field.getName())) {
            return;
        }
        int keptCount = 0;
        for (HttpField kept : headers) {
            keptCount += kept.is(field.getName()) ? 1 : 0;
        }
        if (keptCount < MAX_HEADERS_KEPT_PER_NAME) {
            headers.add(field);
        }
    }

    /** Requires a POST with a body to a known path, and no repeated header that decides about the job. */
    private void checkRequestForm(String jobClass) throws BadRequest {
        if (!rules.accepted().contains(jobClass)) {
            throw new BadRequest(404, "no such path");
        }
        if (!method.equals("POST")) {
            throw new BadRequest(405, "jobs come by POST");
        }
        if (!headers.contains(HttpHeader.CONTENT_LENGTH) && !headers.contains(HttpHeader.TRANSFER_ENCODING)) {
            throw new BadRequest(411, "Content-Length is missing");
        }
        for (String name : SINGLE_VALUE_HEADERS) {
            if (headers.getValuesList(name).size() > 1) {
                throw new BadRequest(400, name + " is there twice");
            }
        }
    }

    /**
     * Returns the job request without its body.
     *
     * @param firstByteMicros when the request's first byte came
     * @param latestDeadlineMicros the latest deadline that the request may have
     */
    JobRequest parse(long firstByteMicros, long latestDeadlineMicros) throws BadRequest {
        if (!TARGET_PATTERN.matcher(target).matches()) {
            throw new BadRequest(400, "the target cannot be read");
        }
        String className = target.substring(1).split("[/?;]", 2)[0];
        List<String> tenants = rules.tenants();
        checkRequestForm(className);
        String requestId = required("X-Request-ID");
        if (!REQUEST_ID_PATTERN.matcher(requestId).matches()) {
            throw new BadRequest(400, "X-Request-ID is not a word of at most 64 letters and digits");
        }
        if (!required("X-Priority-Class").equals(className)) {
            throw new BadRequest(400, "X-Priority-Class is not the path's class");
        }
        int tenant = tenants.isEmpty() ? -1 : tenants.indexOf(SettingsReader.normalizeName(required("X-Tenant-Id")));
        if (tenant < 0 && !tenants.isEmpty()) {
            throw new BadRequest(400, "X-Tenant-Id is not known");
        }
        long timeoutMicros =
                1000 * (long) parsePositive("X-Timeout-Ms", required("X-Timeout-Ms"), INTEGER, MAX_TIMEOUT_MILLIS);
        double slots = 1;
        double workHintMicros = parseWorkHint();
        String attrs = headers.get("X-Attrs");
        for (String pair : attrs == null || attrs.isBlank() ? new String[0] : attrs.split(",")) {
            int separator = pair.indexOf('=');
            if (separator < 0) {
                throw new BadRequest(400, "X-Attrs is not name=value,name=value");
            }
            String value = pair.substring(separator + 1).strip();
            switch (pair.substring(0, separator).strip()) {
                case "slots" -> slots = parsePositive("X-Attrs slots", value, DECIMAL, MAX_JOB_SLOTS);
                case "hint" -> workHintMicros = parsePositive("X-Attrs hint", value, DECIMAL, MAX_WORK_HINT_MICROS);
                default -> {}
            }
        }
        long deadlineMicros = firstByteMicros + timeoutMicros - Math.min(ANSWER_MARGIN_MICROS, timeoutMicros / 4);
        int jobClass = rules.classes().indexOf(className);
        DispatchApi.RepeatSafety repeatSafety = rules.types()[jobClass].safety();
        // Without the key, servers could not recognize repeats of a keyed job.
        String key = repeatSafety == DispatchApi.RepeatSafety.KEYED
                ? required("Idempotency-Key")
                : headers.get("Idempotency-Key");
        if (key != null && !KEY_PATTERN.matcher(key).matches()) {
            throw new BadRequest(400, "Idempotency-Key is not plain text");
        }
        return new JobRequest(
                requestId,
                jobClass,
                tenant,
                slots,
                workHintMicros,
                Math.min(deadlineMicros, latestDeadlineMicros),
                switch (repeatSafety) {
                    case SAFE -> JobRequest.NO_REPEAT_LIMIT;
                    case KEYED -> rules.types()[jobClass].repeatWindowMicros();
                    case UNSAFE -> 0;
                },
                method,
                target,
                key,
                NO_BODY);
    }

    /** The client's estimate of the work, in microseconds; 0 if missing or unreadable, since it is optional. */
    private double parseWorkHint() {
        List<String> values = headers.getValuesList("X-Cost");
        double value =
                values.size() == 1 && DECIMAL.matcher(values.get(0).strip()).matches()
                        ? Double.parseDouble(values.get(0).strip())
                        : 0;
        return value <= MAX_WORK_HINT_MICROS ? value : 0;
    }

    private String required(String name) throws BadRequest {
        String value = headers.get(name);
        if (value == null || value.isBlank()) {
            throw new BadRequest(400, name + " is missing");
        }
        return value;
    }

    /** Parses plain digits only; other forms that Java's parser takes, such as NaN or 1e9, are rejected. */
    private static double parsePositive(String name, String text, Pattern pattern, double max) throws BadRequest {
        if (pattern.matcher(text).matches()) {
            double value = Double.parseDouble(text);
            if (value > 0 && value <= max) {
                return value;
            }
        }
        throw new BadRequest(400, name + " is not a positive number" + (pattern == DECIMAL ? " in range" : ""));
    }
}
