package org.magnoliabridge.daemon;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.codahale.metrics.MetricRegistry;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.magnoliabridge.calls.CallDependencies;
import org.magnoliabridge.calls.CallException;
import org.magnoliabridge.calls.CallLimits;
import org.magnoliabridge.calls.CallMetrics;
import org.magnoliabridge.calls.Cancellation;
import org.magnoliabridge.calls.EndpointSource;
import org.magnoliabridge.calls.ExecutionStatus;
import org.magnoliabridge.calls.Failure;
import org.magnoliabridge.calls.GracePeriod;
import org.magnoliabridge.calls.PlainAnswer;
import org.magnoliabridge.calls.PlainCaller;
import org.magnoliabridge.calls.PlainRequest;
import org.magnoliabridge.calls.PlainServiceAdapter;
import org.magnoliabridge.calls.RetryBudget;
import org.magnoliabridge.core.ControlLoop;
import org.magnoliabridge.core.MonotonicClock;
import org.magnoliabridge.external.BudgetedStore;
import org.magnoliabridge.external.StoreRunner;
import org.magnoliabridge.http.HttpAnswer;
import org.magnoliabridge.http.HttpCall;
import org.magnoliabridge.http.HttpCaller;
import org.magnoliabridge.http.HttpFailure;
import org.magnoliabridge.ids.EndpointId;
import org.magnoliabridge.ids.Incarnation;
import org.magnoliabridge.ids.NodeId;
import org.magnoliabridge.ids.RequestId;
import org.magnoliabridge.ids.ServiceId;
import org.magnoliabridge.ids.TeamId;
import org.magnoliabridge.ledger.LedgerCore;
import org.magnoliabridge.telemetry.TracerSpans;
import org.magnoliabridge.telemetry.Tracing;

class LedgerDriverTest {
    private static final long DEADLINE_MS = 10_000;

    private final MonotonicClock clock = MonotonicClock.system();
    private final ControlLoop loop = new ControlLoop("test");
    private final FakeService service = new FakeService();
    private final FakeStore objects = new FakeStore();
    private final LedgerCore core = new LedgerCore(new NodeId("n1"), new Incarnation(1), 4);
    private final LedgerDriver driver = driver();

    @AfterEach
    void stop() {
        loop.close();
    }

    /** Guards against removing the entry of a call before its own result has arrived. */
    @Test
    void answersTheCallerOfTheCall() throws CallException {
        assertThat(call("oak", "k1", "{}").status(), is(201));
    }

    /** Guards against a second execution when a caller repeats its call. */
    @Test
    void repeatedCallGetsTheStoredAnswer() throws CallException {
        call("oak", "k1", "{}");
        assertThat(call("oak", "k1", "{}").status(), is(201));
        assertThat(service.calls, hasSize(1));
    }

    /** Guards against one key being accepted for two different requests. */
    @Test
    void refusesTheSameKeyWithAnotherBody() throws CallException {
        call("oak", "k1", "{}");
        CallException refused = assertThrows(CallException.class, () -> call("oak", "k1", "{\"bench\":2}"));
        assertThat(refused.failure(), instanceOf(Failure.Conflict.class));
        assertThat(service.calls, hasSize(1));
    }

    /** Guards against a service that treats equal keys of two teams as the same call. */
    @Test
    void scopesTheKeyByTeam() throws CallException {
        call("oak", "k1", "{}");
        call("elm", "k1", "{}");
        List<String> keys = service.calls.stream()
                .map(c -> c.headers().get("idempotency-key"))
                .toList();
        assertThat(keys, is(List.of("oak.k1", "elm.k1")));
    }

    /** Guards against sending a call whose claim could not be recorded in the store. */
    @Test
    void sendsNothingWhenTheStoreIsUnavailable() {
        objects.down = true;
        CallException refused = assertThrows(CallException.class, () -> call("oak", "k1", "{}"));
        assertThat(refused.executionStatus(), is(ExecutionStatus.NOT_RUN));
        assertThat(service.calls, hasSize(0));
    }

    /** Guards against a claim that a late control thread records after its caller has been answered. */
    @Test
    void callThatIsNotBegunByItsDeadlineIsNotRun() throws Exception {
        CountDownLatch controlThread = new CountDownLatch(1);
        loop.post(() -> await(controlThread));
        CallException refused = assertThrows(CallException.class, () -> call("oak", "k1", "{}", 1));
        assertThat(refused.executionStatus(), is(ExecutionStatus.NOT_RUN));
        assertThat(refused.failure(), instanceOf(Failure.DeadlineExceeded.class));
        controlThread.countDown();
        assertThat("calls of the core", loop.submit(core::pending).get(10, TimeUnit.SECONDS), is(0));
        assertThat(service.calls, hasSize(0));
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private PlainAnswer call(String team, String key, String body) throws CallException {
        return call(team, key, body, DEADLINE_MS);
    }

    private PlainAnswer call(String team, String key, String body, long deadlineMs) throws CallException {
        PlainRequest request = new PlainRequest(
                new ServiceId("benchdesk"),
                new TeamId(team),
                "POST",
                "/bookings",
                Map.of("idempotency-key", key),
                body.getBytes(StandardCharsets.UTF_8),
                false,
                PlainRequest.DEFAULT_ATTEMPTS,
                clock.nowMs() + deadlineMs,
                new RequestId("r1"),
                Optional.empty());
        return driver.call(key, Optional.empty(), request, new Cancellation());
    }

    private LedgerDriver driver() {
        MetricRegistry metrics = new MetricRegistry();
        CallDependencies dependencies = new CallDependencies(
                new FakeEndpoints(),
                new RetryBudget(),
                CallLimits.DEFAULT,
                clock,
                () -> new RequestId("hop"),
                Runnable::run,
                new CallMetrics(metrics),
                new TracerSpans(Tracing.disabled().tracer()),
                new GracePeriod());
        return new LedgerDriver(
                core,
                new PlainCaller(new PlainServiceAdapter(service), dependencies),
                loop,
                clock,
                System::currentTimeMillis,
                new StoreRunner(new BudgetedStore(objects, 4, 1_000, metrics), loop),
                metrics);
    }

    /** Records the calls that it receives. */
    private static final class FakeService implements HttpCaller {
        private final List<HttpCall> calls = new CopyOnWriteArrayList<>();

        @Override
        public HttpAnswer call(HttpCall call) {
            calls.add(call);
            return new HttpAnswer(201, Map.of("content-type", "application/json"), new byte[] {'{', '}'});
        }

        @Override
        public HttpAnswer stream(HttpCall call, LineReceiver lines) throws HttpFailure {
            throw new HttpFailure.NotSent("streaming is not supported by this fake", null);
        }

        @Override
        public HttpAnswer relay(HttpCall call, PieceReceiver pieces) throws HttpFailure {
            throw new HttpFailure.NotSent("streaming is not supported by this fake", null);
        }

        @Override
        public void close() {}
    }

    private static final class FakeEndpoints implements EndpointSource {
        @Override
        public Slot acquire(SlotRequest need, Cancellation cancellation) {
            return new Slot() {
                @Override
                public EndpointId endpoint() {
                    return new EndpointId("e1");
                }

                @Override
                public InetSocketAddress address() {
                    return new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);
                }

                @Override
                public void observed(Observation observation) {}

                @Override
                public void release(int usedTokens) {}

                @Override
                public void close() {}
            };
        }
    }
}
