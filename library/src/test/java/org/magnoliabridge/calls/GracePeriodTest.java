package org.magnoliabridge.calls;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

class GracePeriodTest {
    private static final long BEGIN_MS = 1_000;
    private static final long END_MS = BEGIN_MS + 7_200;

    private final GracePeriod grace = new GracePeriod();

    /** Guards against refusals while no shutdown is planned. */
    @Test
    void everyRequestIsSentBeforeTheGracePeriod() {
        assertThat(grace.maySend(0, 1_000_000), is(true));
    }

    /** Guards against refusals of callers that cannot know of the shutdown yet. */
    @Test
    void everyRequestIsSentAtTheBegin() {
        grace.begin(BEGIN_MS, END_MS);
        assertThat(grace.maySend(BEGIN_MS + GracePeriod.SEND_ALL_MS, 60_000), is(true));
    }

    /** Guards against a request that is sent late and cut off at the end of the process. */
    @Test
    void lateRequestIsSentOnlyIfItEndsInTime() {
        grace.begin(BEGIN_MS, END_MS);
        long lateMs = BEGIN_MS + GracePeriod.SEND_ALL_MS + 1;
        assertThat(grace.maySend(lateMs, 60_000), is(false));
        assertThat(grace.maySend(lateMs, END_MS - lateMs), is(true));
        assertThat(grace.maySend(lateMs, END_MS - lateMs + 1), is(false));
    }
}
