package org.magnoliabridge.edge;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.magnoliabridge.calls.Cancellation;

class ActiveCallsTest {
    private final ActiveCalls calls = new ActiveCalls();

    /** Guards against a request that is cut off because the rest of its body came after all calls were cancelled. */
    @Test
    void callThatBeginsAfterAllWereCancelledIsCancelled() {
        Cancellation before = new Cancellation();
        calls.add(before, Optional.empty());
        calls.cancelAll();
        Cancellation after = new Cancellation();
        calls.add(after, Optional.empty());
        assertThat(before.reason(), is(Optional.of(Cancellation.Reason.SHUTDOWN)));
        assertThat(after.reason(), is(Optional.of(Cancellation.Reason.SHUTDOWN)));
    }
}
