package org.magnoliabridge.daemon;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestFactory;
import org.magnoliabridge.core.CloseFailedException;
import org.magnoliabridge.core.Closer;
import org.magnoliabridge.core.ControlLoop;
import org.magnoliabridge.core.MonotonicClock;
import org.magnoliabridge.ids.DataCentre;
import org.magnoliabridge.ids.Incarnation;
import org.magnoliabridge.ids.NodeId;
import org.magnoliabridge.ids.Region;
import org.magnoliabridge.membership.Member;
import org.magnoliabridge.membership.MemberState;
import org.magnoliabridge.membership.MembershipCore;
import org.magnoliabridge.membership.MembershipInput;
import org.magnoliabridge.membership.NodeLocation;
import org.magnoliabridge.settings.SocketAddresses;
import org.magnoliabridge.wire.CallNumber;
import org.magnoliabridge.wire.ClusterSecrets;
import org.magnoliabridge.wire.Frame;
import org.magnoliabridge.wire.FrameType;
import org.magnoliabridge.wire.PeerConnections;
import org.magnoliabridge.wire.PeerListener;

/** Calls between nodes over sockets, one of which starts again while its calls are open. */
class PeerCallsTest {
    private static final NodeId CALLER = new NodeId("n1");
    private static final NodeId CALLEE = new NodeId("n2");
    private static final NodeId OTHER = new NodeId("n3");
    private static final long LIMIT_MS = 20_000;
    private static final byte[] SECRET = new byte[ClusterSecrets.MIN_BYTES];

    private final Closer closer = new Closer();
    private StartedNode callee;
    private long callerStarts;

    /** A call that the callee has received and not answered yet. */
    private record Received(String text, Consumer<byte[]> answer) {
        void answerAs(String body) {
            answer.accept(bytes(body));
        }
    }

    /** One start of a node. */
    private static final class StartedNode implements AutoCloseable {
        private final Closer own = new Closer();
        private final MetricRegistry metrics = new MetricRegistry();
        private final BlockingQueue<Received> received = new LinkedBlockingQueue<>();
        private final NodeId self;
        private final Incarnation run;
        private final ControlLoop loop;
        private final MembershipDriver membership;
        private final PeerConnections connections;
        private final PeerCalls calls;
        private final InetSocketAddress address;

        StartedNode(NodeId node, long start) throws IOException {
            self = node;
            run = new Incarnation(start);
            loop = own.register(new ControlLoop(node + "-" + start));
            address = new InetSocketAddress(InetAddress.getLoopbackAddress(), freePort());
            MemberState state = new MemberState(run, 0, MemberState.Liveness.ALIVE, false);
            NodeLocation location = new NodeLocation(
                    SocketAddresses.format(address), "none", new DataCentre("dc"), new Region("r"), 1_000);
            MembershipCore core = new MembershipCore(new Member(node, state, location, 0), List.of(), new Random(1));
            membership = new MembershipDriver(node, core, loop, MonotonicClock.system(), metrics);
            connections = own.register(new PeerConnections(
                    node, run, new ClusterSecrets(SECRET, Optional.empty()), membership, MonotonicClock.system()));
            membership.connect(connections);
            own.register(new PeerListener(address, connections));
            calls = new PeerCalls(run, membership, loop, metrics);
            for (PeerCalls.Method method : PeerCalls.Method.values()) {
                calls.serve(
                        method,
                        (from, body, answer) ->
                                received.add(new Received(new String(body, StandardCharsets.UTF_8), answer)));
            }
            loop.postPeriodically(20, () -> membership.handle(new MembershipInput.Tick()));
        }

        /** Waits until this process knows the present process of a node. */
        void meet(StartedNode other, NodeId node) throws InterruptedException {
            loop.post(() -> membership.handle(
                    new MembershipInput.Instances(Map.of(node, SocketAddresses.format(other.address)))));
            while (membership.members().stream()
                    .noneMatch(
                            m -> m.id().equals(node) && m.state().incarnation().equals(other.run))) {
                Thread.sleep(5);
            }
        }

        CompletableFuture<byte[]> call(PeerCalls.Method method, String text) {
            return calls.call(CALLEE, method, bytes(text), LIMIT_MS);
        }

        Received next() throws InterruptedException {
            return received.poll(LIMIT_MS, TimeUnit.MILLISECONDS);
        }

        /** Sends an answer as an earlier release does, without a look at the process that is connected. */
        void sendAnswer(StartedNode to, NodeId node, long requestId, String body) {
            connections.send(Optional.of(node), to.address, new Frame(FrameType.ANSWER, self, requestId, bytes(body)));
        }

        @Override
        public void close() throws CloseFailedException {
            own.close();
        }
    }

    @BeforeEach
    void start() throws IOException {
        callee = closer.register(new StartedNode(CALLEE, 1));
    }

    @AfterEach
    void stop() throws CloseFailedException {
        closer.close();
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static String text(CompletableFuture<byte[]> answer) throws Exception {
        return new String(answer.get(LIMIT_MS, TimeUnit.MILLISECONDS), StandardCharsets.UTF_8);
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    /**
     * Guards against the answer to a call of a killed process that completes a call of the next process of its node, as
     * when one team's read got the results of another team's batch. Both calls are open when the first is answered.
     */
    @TestFactory
    Stream<DynamicTest> answerToAnEndedProcessDoesNotReachTheNextOne() {
        return Stream.of(PeerCalls.Method.values())
                .map(method -> DynamicTest.dynamicTest(method.name(), () -> answerOfEndedProcess(method)));
    }

    private void answerOfEndedProcess(PeerCalls.Method method) throws Exception {
        StartedNode first = new StartedNode(CALLER, ++callerStarts);
        first.meet(callee, CALLEE);
        CompletableFuture<byte[]> unanswered = first.call(method, "of the first");
        Received early = callee.next();
        assertThat(early.text(), is("of the first"));
        long misaddressed = callee.connections.stats().misaddressed();
        first.close();
        StartedNode second = closer.register(new StartedNode(CALLER, ++callerStarts));
        second.meet(callee, CALLEE);
        callee.meet(second, CALLER);
        CompletableFuture<byte[]> answer = second.call(method, "of the second");
        Received late = callee.next();
        assertThat(late.text(), is("of the second"));
        // Frames of one connection arrive in the order in which they are sent.
        early.answerAs("for the first");
        late.answerAs("for the second");
        assertThat(text(answer), is("for the second"));
        assertThat(callee.connections.stats().misaddressed(), is(misaddressed + 1));
        assertThat(unanswered.isDone(), is(false));
    }

    /** Guards against the same if the answering node compares nothing, as an earlier release. */
    @Test
    void answerToAnotherRunsNumberIsIgnored() throws Exception {
        StartedNode caller = closer.register(new StartedNode(CALLER, 7));
        caller.meet(callee, CALLEE);
        callee.meet(caller, CALLER);
        CompletableFuture<byte[]> answer = caller.call(PeerCalls.Method.READ_BATCH, "read");
        Received received = callee.next();
        CallNumber earlier = CallNumber.beforeFirst(new Incarnation(6)).next();
        callee.sendAnswer(caller, CALLER, earlier.requestId(), "of an earlier run");
        callee.sendAnswer(caller, CALLER, earlier.count(), "of an earlier release");
        received.answerAs("own");
        assertThat(text(answer), is("own"));
        assertThat(caller.metrics.counter("peers.answers.foreign").getCount(), is(2L));
    }

    /** Guards against an answer that is taken from a node that was not called. */
    @Test
    void answerOfAnotherNodeIsIgnored() throws Exception {
        StartedNode caller = closer.register(new StartedNode(CALLER, 7));
        StartedNode other = closer.register(new StartedNode(OTHER, 1));
        caller.meet(callee, CALLEE);
        other.meet(caller, CALLER);
        CompletableFuture<byte[]> answer = caller.call(PeerCalls.Method.STORE_CALL, "write");
        Received received = callee.next();
        long id = CallNumber.beforeFirst(new Incarnation(7)).next().requestId();
        other.connections.send(
                Optional.of(CALLER), caller.address, new Frame(FrameType.ANSWER, OTHER, id, bytes("foreign")));
        while (caller.metrics.counter("peers.answers.foreign").getCount() == 0) {
            Thread.sleep(5);
        }
        received.answerAs("own");
        assertThat(text(answer), is("own"));
    }
}
