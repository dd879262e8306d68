package org.magnoliabridge.daemon;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.lessThan;

import com.codahale.metrics.MetricRegistry;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.magnoliabridge.core.ControlLoop;
import org.magnoliabridge.ids.DataCentre;
import org.magnoliabridge.ids.Incarnation;
import org.magnoliabridge.ids.NodeId;
import org.magnoliabridge.ids.ProcessName;
import org.magnoliabridge.ids.Region;
import org.magnoliabridge.membership.Member;
import org.magnoliabridge.membership.MemberState;
import org.magnoliabridge.membership.MembershipCore;
import org.magnoliabridge.membership.MembershipEffect;
import org.magnoliabridge.membership.MembershipInput;
import org.magnoliabridge.membership.NodeLocation;
import org.magnoliabridge.usage.UsageCore;
import org.magnoliabridge.usage.UsageTimes;

class UsageDriverTest {
    private static final NodeId SELF = new NodeId("n0");
    private static final int FEW = 6;
    private static final int MANY = 66;
    // A reference to each member in a list would reach it.
    private static final long BYTES_PER_MEMBER = 8;
    // No socket address, so that answers to pings are not sent.
    private static final String NO_ADDRESS = "none";

    /** Guards against a search of all members for each member at each tick although none has changed. */
    @Test
    void tickDoesNotLookAtMembersThatHaveNotChanged() {
        long few = bytesPerTick(FEW);
        long many = bytesPerTick(MANY);
        assertThat("additional bytes", many - few, lessThan(BYTES_PER_MEMBER * (MANY - FEW)));
    }

    private static long bytesPerTick(int nodes) {
        try (ControlLoop loop = new ControlLoop("unused")) {
            MembershipDriver membership = new MembershipDriver(SELF, core(SELF), loop, () -> 0, new MetricRegistry());
            for (int i = 1; i < nodes; i++) {
                join(membership, new NodeId("n" + i));
            }
            assertThat(membership.members(), hasSize(nodes));
            return TickCost.bytesPerCall(driver(membership, loop)::tick);
        }
    }

    private static void join(MembershipDriver membership, NodeId node) {
        for (MembershipEffect effect : core(node).handle(new MembershipInput.Tick(), 0)) {
            if (effect instanceof MembershipEffect.Send ping) {
                membership.handle(new MembershipInput.Received(
                        new ProcessName(node, new Incarnation(1)), ping.type(), ping.requestId(), ping.body()));
            }
        }
    }

    private static MembershipCore core(NodeId node) {
        MemberState state = new MemberState(new Incarnation(1), 0, MemberState.Liveness.ALIVE, false);
        NodeLocation location = new NodeLocation(NO_ADDRESS, NO_ADDRESS, new DataCentre("dc"), new Region("r"), 1_000);
        return new MembershipCore(new Member(node, state, location, 0), List.of(NO_ADDRESS + "-seed"), new Random(1));
    }

    private static UsageDriver driver(MembershipDriver membership, ControlLoop loop) {
        return new UsageDriver(
                SELF,
                new UsageCore(SELF, new Incarnation(1), UsageTimes.withoutDueTime(10_000)),
                null,
                membership,
                UnheldLease.of(SELF),
                null,
                loop,
                () -> 0,
                () -> 0,
                new MetricRegistry());
    }
}
