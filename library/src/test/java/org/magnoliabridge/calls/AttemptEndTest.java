package org.magnoliabridge.calls;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import org.junit.jupiter.api.Test;
import org.magnoliabridge.http.HttpFailure;

class AttemptEndTest {
    /** Guards against an endpoint that is charged because a request allowed too little time. */
    @Test
    void timeLimitOfTheRequestIsNoFaultOfTheConnection() {
        assertThat(AttemptEnd.of(new HttpFailure.Lost("no answer", null), true), is(AttemptEnd.TIMED_OUT));
        assertThat(AttemptEnd.of(new HttpFailure.NotSent("no connection", null), true), is(AttemptEnd.TIMED_OUT));
    }

    /** Guards against an endpoint that breaks off or cannot be reached, and is not charged. */
    @Test
    void lossBeforeTheTimeLimitIsAFaultOfTheEndpoint() {
        assertThat(AttemptEnd.of(new HttpFailure.Lost("no answer", null), false), is(AttemptEnd.BROKEN));
        assertThat(AttemptEnd.of(new HttpFailure.NotSent("no connection", null), false), is(AttemptEnd.UNREACHABLE));
    }

    /** Guards against an endpoint that is charged for what the request, this node or an idle time has caused. */
    @Test
    void failuresWithOtherCausesAreToldApart() {
        assertThat(AttemptEnd.of(new HttpFailure.TooLarge(1), false), is(AttemptEnd.OVERSIZED));
        assertThat(AttemptEnd.of(new HttpFailure.NoRoom(1), false), is(AttemptEnd.STOPPED));
        assertThat(AttemptEnd.of(new HttpFailure.Unidentified("no seal"), false), is(AttemptEnd.FAILED));
        IOException closed = new IOException("closed");
        assertThat(AttemptEnd.of(new HttpFailure.ReusedConnectionLost(closed), false), is(AttemptEnd.STOPPED));
    }
}
