package org.magnoliabridge.daemon;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.magnoliabridge.core.ControlLoop;
import org.magnoliabridge.ids.Incarnation;
import org.magnoliabridge.ids.NodeId;
import org.magnoliabridge.ids.ProcessName;
import org.magnoliabridge.telemetry.LogFields;
import org.magnoliabridge.wire.CallNumber;
import org.magnoliabridge.wire.Frame;
import org.magnoliabridge.wire.FrameType;

/** Request-response calls between nodes; the first byte of a call's body is the number of its method. */
final class PeerCalls {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    /** Largest body of a call or answer in bytes; a frame of over 1 MiB with its head is dropped. */
    static final int MAX_BODY_BYTES = 900_000;

    private final MembershipDriver membership;
    private final ControlLoop loop;
    private final MetricRegistry metrics;
    private final Map<Method, Handler> handlers = new EnumMap<>(Method.class);
    // Accessed on the control thread only.
    private final Map<Long, Pending> pending = new HashMap<>();
    private CallNumber lastCall;

    /** A call without an answer yet, and the node whose answer it takes. */
    private record Pending(NodeId to, CompletableFuture<byte[]> answer) {}

    /** The methods that a node can call on another node. */
    enum Method {
        OFFER_BATCH(1),
        END_BATCH(2),
        READ_BATCH(3),
        ANNOUNCE_RUNNER(4),
        STORE_CALL(5),
        READ_CHANGES(6),
        STOP_BATCH(7),
        READ_CONFIGURATION(8),
        READ_EVACUATIONS(9);

        private final int number;

        Method(int number) {
            this.number = number;
        }

        static Optional<Method> of(int number) {
            return Arrays.stream(values()).filter(m -> m.number == number).findFirst();
        }
    }

    /** Serves calls of a method. */
    interface Handler {
        /**
         * Handles a call on the control thread.
         *
         * @param answer accepts the answer exactly once, during the call or later, on any thread
         */
        void call(ProcessName from, byte[] body, Consumer<byte[]> answer);
    }

    /**
     * Creates the calls of one start of this node.
     *
     * @param run distinguishes this start from earlier ones, whose calls may still be answered
     */
    PeerCalls(Incarnation run, MembershipDriver membership, ControlLoop loop, MetricRegistry metrics) {
        this.lastCall = CallNumber.beforeFirst(run);
        this.membership = membership;
        this.loop = loop;
        this.metrics = metrics;
        membership.onFrame(FrameType.CALL, this::callReceived);
        membership.onFrame(FrameType.ANSWER, this::answerReceived);
    }

    /** Sets the handler of a method; calls of a method without a handler are dropped. */
    void serve(Method method, Handler handler) {
        handlers.put(method, handler);
    }

    /**
     * Calls a node; any thread may call.
     *
     * @return completes with the answer, or with a {@link PeerSilentException} after the time limit in milliseconds
     */
    CompletableFuture<byte[]> call(NodeId to, Method method, byte[] body, long timeoutMs) {
        CompletableFuture<byte[]> answer = new CompletableFuture<>();
        loop.post(() -> {
            lastCall = lastCall.next();
            long id = lastCall.requestId();
            pending.put(id, new Pending(to, answer));
            membership.send(to, FrameType.CALL, id, withMethodNumber(method, body));
            loop.postDelayed(timeoutMs, () -> expire(id, to, method));
        });
        return answer;
    }

    /** Sends a call without waiting for an answer; control thread only. */
    void sendOneWay(NodeId to, Method method, byte[] body) {
        membership.send(to, FrameType.CALL, 0, withMethodNumber(method, body));
    }

    private void expire(long id, NodeId to, Method method) {
        Pending call = pending.remove(id);
        if (call != null) {
            metrics.counter("peers.calls.silent." + method).inc();
            call.answer().completeExceptionally(new PeerSilentException(to, method.name()));
        }
    }

    private void callReceived(ProcessName from, Frame frame) {
        Optional<Handler> handler = Optional.of(frame.body())
                .filter(b -> b.length > 0)
                .flatMap(b -> Method.of(b[0]))
                .map(handlers::get);
        if (handler.isEmpty()) {
            metrics.counter("peers.calls.unknown").inc();
            return;
        }
        byte[] body = Arrays.copyOfRange(frame.body(), 1, frame.body().length);
        handler.get()
                .call(
                        from,
                        body,
                        answer ->
                                loop.post(() -> membership.answer(from, FrameType.ANSWER, frame.requestId(), answer)));
    }

    private void answerReceived(ProcessName from, Frame frame) {
        Pending call = pending.get(frame.requestId());
        boolean foreign = call == null
                ? !lastCall.isOfThisRun(frame.requestId())
                : !call.to().equals(from.node());
        if (foreign) {
            metrics.counter("peers.answers.foreign").inc();
            LOG.atWarning()
                    .atMostEvery(1, TimeUnit.SECONDS)
                    .with(LogFields.PEER, from.node().value())
                    .log("answer to a call that this process did not make; ignored");
        } else if (call != null) {
            pending.remove(frame.requestId());
            call.answer().complete(frame.body());
        }
    }

    private static byte[] withMethodNumber(Method method, byte[] body) {
        byte[] framed = new byte[body.length + 1];
        framed[0] = (byte) method.number;
        System.arraycopy(body, 0, framed, 1, body.length);
        return framed;
    }
}
