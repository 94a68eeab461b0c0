package barrowshore.status;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class ServiceStateTest {
    private static final ServiceState SERVING = ServiceState.SERVING, AWAY = SERVING.sendAway(), ENDING = SERVING.end();

    @Test
    void clientsSentAwayAreTurnedFromAtOnceAndComeBack() {
        assertThat(SERVING.welcomes()).isTrue();
        assertThat(SERVING.lastAnswers()).isFalse();
        assertThat(AWAY.welcomes()).isFalse();
        assertThat(AWAY.lastAnswers()).isTrue();
        assertThat(AWAY.activate().welcomes()).isTrue();
        assertThat(AWAY.activate().lastAnswers()).isFalse();
    }

    @Test
    void aVerbSaidTwiceChangesNothingMore() {
        assertThat(AWAY.sendAway()).isSameAs(AWAY);
        assertThat(SERVING.activate()).isSameAs(SERVING);
        assertThat(ENDING.end()).isSameAs(ENDING);
        assertThat(ENDING.letGo().letGo()).isEqualTo(ENDING.letGo());
    }

    @Test
    void whatWasSetForAnEarlierTurnIsKnownByItsNumber() {
        assertThat(AWAY.activate().sendAway().turn()).isNotEqualTo(AWAY.turn());
    }

    @Test
    void anEndIsForGoodAndKeepsThoseAwayWhoWereSentAway() {
        assertThat(ENDING.activate().ending()).isTrue();
        assertThat(ENDING.sendAway()).isSameAs(ENDING);
        assertThat(ENDING.lastAnswers()).isFalse();
        assertThat(ENDING.letGo().lastAnswers()).isTrue();
        assertThat(AWAY.end().activate().welcomes()).isFalse();
        assertThat(AWAY.end().lastAnswers()).isTrue();
    }

    @Test
    void onlyAnEndLetsGo() {
        assertThat(SERVING.letGo()).isSameAs(SERVING);
        assertThat(AWAY.letGo()).isSameAs(AWAY);
    }
}
