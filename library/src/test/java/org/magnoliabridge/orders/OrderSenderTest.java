package org.magnoliabridge.orders;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.magnoliabridge.core.SuspensionDetector;
import org.magnoliabridge.external.EndpointOrder;
import org.magnoliabridge.external.HttpEndpointOrders;
import org.magnoliabridge.external.ScriptedCaller;
import org.magnoliabridge.http.HttpLimits;
import org.magnoliabridge.ids.DataCentre;
import org.magnoliabridge.ids.EndpointId;
import org.magnoliabridge.ids.FencingToken;
import org.magnoliabridge.ids.ServiceId;
import org.magnoliabridge.lease.LeaseGate;
import org.magnoliabridge.lease.LeaseView;

class OrderSenderTest {
    private static final FencingToken FENCING = new FencingToken(1);
    private static final LeaseView HELD = new LeaseView(true, FENCING, 500, 7_000);
    private static final EndpointOrder ORDER = new EndpointOrder(
            new EndpointId("engine-1"),
            new DataCentre("trent"),
            new ServiceId("coachgen"),
            EndpointOrder.Kind.RECLAIMABLE,
            true);

    private long nowMs = 1_000;
    private long stepMs;
    private final LeaseGate gate =
            new LeaseGate(() -> nowMs, new SuspensionDetector(() -> nowMs, () -> nowMs + stepMs));

    /** Guards against an order that is sent after the send limit of the lease because its thread was delayed. */
    @Test
    void lateOrderIsNotSent() {
        gate.update(HELD, 0);
        ScriptedCaller orders = new ScriptedCaller(200, "etag", "", "{}");
        nowMs = 7_000;
        assertThat(send(orders), is(OrderOutcome.NOT_SENT));
        assertThat(orders.calls, is(0));
        nowMs = 6_999;
        assertThat(send(orders), is(OrderOutcome.ACCEPTED));
        assertThat(orders.calls, is(1));
    }

    /** Guards against an order that was decided under the lease and is sent after the lease ended or changed. */
    @Test
    void orderOfAnEndedLeaseIsNotSent() {
        ScriptedCaller orders = new ScriptedCaller(200, "etag", "", "{}");
        assertThat("not held", send(orders), is(OrderOutcome.NOT_SENT));
        gate.update(HELD, 0);
        gate.update(LeaseView.NOT_HELD, 0);
        assertThat("ended", send(orders), is(OrderOutcome.NOT_SENT));
        gate.update(new LeaseView(true, new FencingToken(2), 500, 7_000), 0);
        assertThat("held with another token", send(orders), is(OrderOutcome.NOT_SENT));
        gate.update(HELD, 0);
        nowMs = 499;
        assertThat("too early", send(orders), is(OrderOutcome.NOT_SENT));
        assertThat(orders.calls, is(0));
    }

    /** Guards against an order that is sent after a suspension which the end of the lease does not allow for. */
    @Test
    void orderAfterASuspensionIsNotSent() {
        gate.update(HELD, 0);
        ScriptedCaller orders = new ScriptedCaller(200, "etag", "", "{}");
        stepMs = 3_000;
        assertThat(send(orders), is(OrderOutcome.NOT_SENT));
        gate.update(HELD, 1);
        assertThat("the lease was acquired after the suspension", send(orders), is(OrderOutcome.ACCEPTED));
    }

    /** Guards against an order that is under way when its lease is released and arrives after the next holder's. */
    @Test
    void gateIsIdleOnlyAfterTheOrdersUnderWayHaveEnded() {
        gate.update(HELD, 0);
        OrderOutcome outcome = new OrderSender(gate).send(FENCING, permit -> {
            assertThat(permit.isValid(), is(true));
            CompletableFuture<Void> idle = gate.close();
            assertThat("under way", idle.isDone(), is(false));
            assertThat("not to be written any more", permit.isValid(), is(false));
            permit.close();
            assertThat("ended", idle.isDone(), is(true));
        });
        assertThat(outcome, is(OrderOutcome.ACCEPTED));
        assertThat(send(new ScriptedCaller(200, "etag", "", "{}")), is(OrderOutcome.NOT_SENT));
    }

    /**
     * Guards against treating a refusal as an unknown outcome, which would wait for the send deadline, and against
     * treating an unknown outcome as a refusal.
     */
    @Test
    void refusalsAndFailuresDiffer() {
        gate.update(HELD, 0);
        assertThat(outcomeOf(422, "{\"error\":\"no_capacity\"}"), is(OrderOutcome.REFUSED));
        assertThat(outcomeOf(503, "try later"), is(OrderOutcome.UNKNOWN));
        assertThat(outcomeOf(409, "{\"error\":\"stale_fencing\"}"), is(OrderOutcome.STALE_FENCING));
        assertThat(outcomeOf(400, "{}"), is(OrderOutcome.REFUSED));
    }

    private OrderOutcome outcomeOf(int status, String body) {
        return send(new ScriptedCaller(status, "etag", "", body));
    }

    private OrderOutcome send(ScriptedCaller caller) {
        InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);
        HttpEndpointOrders orders = new HttpEndpointOrders(caller, address, HttpLimits.total(100));
        return new OrderSender(gate).send(FENCING, permit -> orders.order(ORDER, "1-node-0-1-1", permit));
    }
}
