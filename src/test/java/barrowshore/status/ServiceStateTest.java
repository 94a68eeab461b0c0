package barrowshore.status;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** The transitions between serving, drained and ending, and what each state means for clients. */
class ServiceStateTest {
    private static final ServiceState SERVING = ServiceState.SERVING, DRAINED = SERVING.drain(), ENDING = SERVING.end();

    @Test
    void drainRefusesClientsUntilActivated() {
        assertThat(SERVING.acceptsClients()).isTrue();
        assertThat(SERVING.closesAfterAnswer()).isFalse();
        assertThat(DRAINED.acceptsClients()).isFalse();
        assertThat(DRAINED.closesAfterAnswer()).isTrue();
        assertThat(DRAINED.activate().acceptsClients()).isTrue();
        assertThat(DRAINED.activate().closesAfterAnswer()).isFalse();
    }

    @Test
    void repeatedCommandsChangeNothing() {
        assertThat(DRAINED.drain()).isSameAs(DRAINED);
        assertThat(SERVING.activate()).isSameAs(SERVING);
        assertThat(ENDING.end()).isSameAs(ENDING);
        assertThat(ENDING.closeConnections().closeConnections()).isEqualTo(ENDING.closeConnections());
    }

    @Test
    void everyDrainGetsItsOwnChangeCount() {
        assertThat(DRAINED.activate().drain().changeCount()).isNotEqualTo(DRAINED.changeCount());
    }

    @Test
    void endIsFinalAndKeepsDrain() {
        assertThat(ENDING.activate().isEnding()).isTrue();
        assertThat(ENDING.drain()).isSameAs(ENDING);
        assertThat(ENDING.closesAfterAnswer()).isFalse();
        assertThat(ENDING.closeConnections().closesAfterAnswer()).isTrue();
        assertThat(DRAINED.end().activate().acceptsClients()).isFalse();
        assertThat(DRAINED.end().closesAfterAnswer()).isTrue();
    }

    @Test
    void closeConnectionsOnlyActsWhileEnding() {
        assertThat(SERVING.closeConnections()).isSameAs(SERVING);
        assertThat(DRAINED.closeConnections()).isSameAs(DRAINED);
    }
}
