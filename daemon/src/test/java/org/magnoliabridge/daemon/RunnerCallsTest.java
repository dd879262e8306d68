package org.magnoliabridge.daemon;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import com.codahale.metrics.MetricRegistry;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.magnoliabridge.core.ControlLoop;
import org.magnoliabridge.ids.DataCentre;
import org.magnoliabridge.ids.Incarnation;
import org.magnoliabridge.ids.NodeId;
import org.magnoliabridge.ids.Region;
import org.magnoliabridge.membership.Member;
import org.magnoliabridge.membership.MemberState;
import org.magnoliabridge.membership.MembershipCore;
import org.magnoliabridge.membership.NodeLocation;

class RunnerCallsTest {
    private static final NodeId SELF = new NodeId("n0");
    private static final long LIMIT_MS = 50;

    /** Guards against reads that wait for a late control thread although the store could answer them. */
    @Test
    @Timeout(value = 20, unit = TimeUnit.SECONDS, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
    void callEndsWithoutTheControlThread() throws Exception {
        CountDownLatch released = new CountDownLatch(1);
        try (ControlLoop loop = new ControlLoop("late")) {
            MembershipDriver membership = new MembershipDriver(SELF, core(), loop, () -> 0, new MetricRegistry());
            PeerCalls peers = new PeerCalls(new Incarnation(1), membership, loop, new MetricRegistry());
            loop.post(() -> await(released));
            Optional<byte[]> answer = new RunnerCalls(null, peers, null)
                    .call(new NodeId("n1"), PeerCalls.Method.READ_BATCH, new byte[0], LIMIT_MS);
            assertThat(answer.isPresent(), is(false));
        } finally {
            released.countDown();
        }
    }

    private static void await(CountDownLatch released) {
        try {
            released.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static MembershipCore core() {
        MemberState state = new MemberState(new Incarnation(1), 0, MemberState.Liveness.ALIVE, false);
        NodeLocation location = new NodeLocation("none", "none", new DataCentre("dc"), new Region("r"), 1_000);
        return new MembershipCore(new Member(SELF, state, location, 0), List.of(), new Random(1));
    }
}
