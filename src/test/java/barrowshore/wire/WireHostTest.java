package barrowshore.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The simulator's adapter: batches in, actions out; malformed input is reported by line and field. */
class WireHostTest {
    private static final String ATTACH = "ATTACH 3 42 groupSize=2 kinds=a,b lanes.count=1 lanes.0.aim=100000"
            + " lanes.0.deadline=2000000 lanes.0.idempotency=idempotent lanes.0.keyScope=all lanes.0.worth=1.0"
            + " some.new.key=1 tick=2000 zone=0\n";
    private static final String LIST =
            "MEMBERS 3 C 41 2\nM healthy 1 0 0 0 10.0.0.1:1 -\nM healthy 1.5 0 1 1 10.0.0.2:1 -\n";

    private static String run(String input) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        new WireHost(new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)), out).run();
        return out.toString(StandardCharsets.UTF_8);
    }

    @Test
    void anEmptyBatchGetsAnEmptyReply() throws IOException {
        assertEquals("YIELD\nYIELD\n", run("FRAME 5\nOVER_TO_YOU\nFRAME 6\nOVER_TO_YOU\n"));
    }

    @Test
    void aRequestIsPlacedAndItsOutcomeAccepted() throws IOException {
        String reply = run("FRAME 5\n" + ATTACH + LIST + "CALL 3 rq_1 1 - 0 - 0 0 - 2000000\nOVER_TO_YOU\n"
                + "FRAME 9000\nHEARTBEAT 3 rq_1 0 10.0.0.1:1 1 -\n"
                + "VERDICT 3 rq_1 0 - 1 Ok 8995 10.0.0.1:1 inflight:7,queue:3,x0:0.4\nHANGUP 3 rq_1\nOVER_TO_YOU\n");
        assertTrue(reply.contains("PLACE 3 rq_1 10.0.0."), reply);
        assertTrue(reply.endsWith("YIELD\nYIELD\n"), reply);
    }

    @Test
    void dispatchersExchangeTheirSlotsInUse() throws IOException {
        String start = "FRAME 5\n" + ATTACH.replace("tick", "policyLimits.mayTell=true me=1 tick") + LIST;
        String message = run(start + "CALL 3 rq_1 1 - 0 - 0 0 - 2000000\nOVER_TO_YOU\n")
                .lines()
                .filter(l -> l.startsWith("SAY 3 -1 "))
                .findFirst()
                .orElseThrow()
                .substring(9);
        String chosen =
                run(start + "CALL 3 rq_1 1 - 0 - 0 0 - 2000000\nOVER_TO_YOU\n").contains("10.0.0.1:1")
                        ? "10.0.0.1:1"
                        : "10.0.0.2:1";
        // The peer reports 200 slots in use there instead of one, so the next job goes elsewhere. The message has one
        // entry, a varint of two bytes, whose lowest bit says that a byte with the slots follows (SlotSnapshot).
        int entry = message.length() - 4;
        int entryWithSlots = Integer.parseInt(message.substring(entry, entry + 2), 16) | 1;
        String fullMessage =
                message.substring(0, entry) + Integer.toHexString(entryWithSlots) + message.substring(entry + 2) + "c8";
        String reply =
                run(start + "PEER_DATA 3 0 " + fullMessage + "\nCALL 3 rq_1 1 - 0 - 0 0 - 2000000\nOVER_TO_YOU\n");
        assertTrue(reply.contains("PLACE 3 rq_1 ") && !reply.contains("PLACE 3 rq_1 " + chosen), reply);
        assertTrue(run(start + "PEER_DATA 3 0 -\nOVER_TO_YOU\n").endsWith("YIELD\n"), "an empty message is dropped");
    }

    @Test
    void aStoppedInstanceRestartsInTheSameBatch() throws IOException {
        String reply = run("FRAME 5\n" + ATTACH + LIST + "STOP 3\n" + ATTACH + "CALL 3 rq_1 1 - 0 - 0 0 - 2000000\n"
                + "OVER_TO_YOU\n");
        assertTrue(reply.contains("REJECT 3 rq_1"), reply);
    }

    @Test
    void anErrorInTheDispatcherBecomesAnExceptionLine() throws IOException {
        String reply = run("FRAME 5\n" + ATTACH + "CALL 3 rq_1 1 - 0 - 0 7 - 2000000\nOVER_TO_YOU\n");
        assertTrue(reply.contains("EXCEPTION 3 ") && reply.contains("jobClass"), reply);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "HELLO 5 | line 1: expected FRAME",
                "FRAME x | line 1: the field 'clock' is not a number",
                "FRAME | line 1: the field 'clock' is missing",
                "FRAME 5~CALL 9 rq_1 1 - 0 - 0 0 - 5 | line 2: CALL for instance 9, which was not attached",
                "FRAME 5~ATTACH~ELAPSED 3 | line 3: the field 'handle' is missing",
                "FRAME 5~ATTACH~NEWS 3 x | line 3: unknown message NEWS",
                "FRAME 5~ATTACH~MEMBERS 3 F 1 1~X | line 4: expected M",
                "FRAME 5~ATTACH~VERDICT 3 rq 0 - 0 Maybe 1 w - | line 3: unknown outcome Maybe",
                "FRAME 5~ATTACH~PONG 3 1 Ok w inflight | line 3: the load report has no value",
                "FRAME 5~ATTACH~PEER_DATA 3 0 xyz | line 3: the bytes are not hex",
                "FRAME 5 | the input ends"
            })
    void malformedInputIsNamedByLine(String input, String message) {
        String text = input.replace("~", "\n").replace("ATTACH\n", ATTACH) + "\n";
        WireException e = assertThrows(WireException.class, () -> run(text));
        assertTrue(e.getMessage().contains(message), e.getMessage());
    }

    @Test
    void aLineCutOffIsNamed() {
        assertTrue(assertThrows(WireException.class, () -> run("FRAME 5\nOVER_TO"))
                .getMessage()
                .contains("cut off"));
    }
}
