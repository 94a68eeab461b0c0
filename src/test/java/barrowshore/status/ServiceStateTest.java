package barrowshore.status;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class ServiceStateTest {
    private static final ServiceState SERVING = ServiceState.SERVING, AWAY = SERVING.drain(), ENDING = SERVING.end();

    @Test
    void clientsSentAwayAreTurnedFromAtOnceAndComeBack() {
        assertThat(SERVING.acceptsClients()).isTrue();
        assertThat(SERVING.closesAfterAnswer()).isFalse();
        assertThat(AWAY.acceptsClients()).isFalse();
        assertThat(AWAY.closesAfterAnswer()).isTrue();
        assertThat(AWAY.activate().acceptsClients()).isTrue();
        assertThat(AWAY.activate().closesAfterAnswer()).isFalse();
    }

    @Test
    void aVerbSaidTwiceChangesNothingMore() {
        assertThat(AWAY.drain()).isSameAs(AWAY);
        assertThat(SERVING.activate()).isSameAs(SERVING);
        assertThat(ENDING.end()).isSameAs(ENDING);
        assertThat(ENDING.closeConnections().closeConnections()).isEqualTo(ENDING.closeConnections());
    }

    @Test
    void whatWasSetForAnEarlierTurnIsKnownByItsNumber() {
        assertThat(AWAY.activate().drain().changeCount()).isNotEqualTo(AWAY.changeCount());
    }

    @Test
    void anEndIsForGoodAndKeepsThoseAwayWhoWereSentAway() {
        assertThat(ENDING.activate().isEnding()).isTrue();
        assertThat(ENDING.drain()).isSameAs(ENDING);
        assertThat(ENDING.closesAfterAnswer()).isFalse();
        assertThat(ENDING.closeConnections().closesAfterAnswer()).isTrue();
        assertThat(AWAY.end().activate().acceptsClients()).isFalse();
        assertThat(AWAY.end().closesAfterAnswer()).isTrue();
    }

    @Test
    void onlyAnEndLetsGo() {
        assertThat(SERVING.closeConnections()).isSameAs(SERVING);
        assertThat(AWAY.closeConnections()).isSameAs(AWAY);
    }
}
