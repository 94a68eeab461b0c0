package barrowshore.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import barrowshore.fleet.Invariants.Answer;
import barrowshore.fleet.Invariants.JobRecord;
import barrowshore.fleet.Invariants.Outage;
import barrowshore.fleet.Invariants.WorkerRecord;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Each violation is reported, and only then. */
class InvariantsTest {
    private static final long SECOND_MICROS = 1_000_000;

    private static JobRecord jobRecord(boolean atMostOnce, Answer answer) {
        return new JobRecord("j-1", atMostOnce, 2, 10 * SECOND_MICROS, 11 * SECOND_MICROS, 13 * SECOND_MICROS, answer);
    }

    private static List<String> violations(JobRecord job, int starts, List<Outage> outages) {
        return Invariants.findViolations(
                List.of(job), starts == 0 ? Map.of() : Map.of("j-1", starts), outages, List.of(), List.of());
    }

    @ParameterizedTest
    @CsvSource({
        "true, SERVED, 1, ''",
        "true, SERVED, 2, ran 2 times",
        "false, SERVED, 2, ''",
        "false, SERVED, 0, no worker ran it",
        "true, TURNED_DOWN, 0, ''",
        "true, TURNED_DOWN, 1, turned down as harmless",
        "false, TURNED_DOWN, 1, ''",
        "true, FAILED, 1, ''",
        "true, FAILED, 2, ran 2 times",
        "true, REFUSED, 0, ''",
        "true, NONE, 1, no answer"
    })
    void eachJobIsChecked(boolean atMostOnce, Answer answer, int starts, String expectedText) {
        List<String> violations = violations(jobRecord(atMostOnce, answer), starts, List.of());
        if (expectedText.isEmpty()) {
            assertThat(violations).isEmpty();
        } else {
            assertThat(violations).singleElement().asString().contains(expectedText, "j-1");
        }
    }

    /** A killed or paused scheduler may leave unanswered the jobs that it held at the time, and no others. */
    @ParameterizedTest
    @CsvSource({"2, 9, 12, true", "2, 12, 20, true", "2, 14, 20, false", "2, 3, 9, false", "1, 9, 12, false"})
    void outageExcusesOnlyJobsThatOverlapIt(int scheduler, long from, long to, boolean excused) {
        assertThat(violations(
                                jobRecord(false, Answer.NONE),
                                0,
                                List.of(new Outage(scheduler, from * SECOND_MICROS, to * SECOND_MICROS)))
                        .isEmpty())
                .isEqualTo(excused);
    }

    @Test
    void workersAndProcessesAreChecked() {
        assertThat(Invariants.findViolations(
                        List.of(), Map.of(), List.of(), List.of(new WorkerRecord("s-0", 0, false, 0.9)), List.of()))
                .isEmpty();
        assertThat(Invariants.findViolations(
                        List.of(),
                        Map.of(),
                        List.of(),
                        List.of(new WorkerRecord("s-1", 3, false, 0), new WorkerRecord("s-2", 0, true, 1.2)),
                        List.of("scheduler 4, process 77")))
                .containsExactly(
                        "3 jobs after the grace of its drain: s-1",
                        "pushed over while cold: s-2",
                        "left behind: scheduler 4, process 77");
    }
}
