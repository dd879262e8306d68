package org.magnoliabridge.daemon;

import com.codahale.metrics.MetricRegistry;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.magnoliabridge.core.ControlLoop;
import org.magnoliabridge.ids.NodeId;
import org.magnoliabridge.wire.Frame;
import org.magnoliabridge.wire.FrameType;

/** Request-response calls between nodes; the first byte of a call's body is the number of its method. */
final class PeerCalls {
    /** Largest body of a call or answer in bytes; a frame of over 1 MiB with its head is dropped. */
    static final int MAX_BODY_BYTES = 900_000;

    private final MembershipDriver membership;
    private final ControlLoop loop;
    private final MetricRegistry metrics;
    private final Map<Method, Handler> handlers = new EnumMap<>(Method.class);
    // Accessed on the control thread only.
    private final Map<Long, CompletableFuture<byte[]>> pending = new HashMap<>();
    private long lastCall;

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
        void call(NodeId from, byte[] body, Consumer<byte[]> answer);
    }

    PeerCalls(MembershipDriver membership, ControlLoop loop, MetricRegistry metrics) {
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
            long id = ++lastCall;
            pending.put(id, answer);
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
        CompletableFuture<byte[]> answer = pending.remove(id);
        if (answer != null) {
            metrics.counter("peers.calls.silent." + method).inc();
            answer.completeExceptionally(new PeerSilentException(to, method.name()));
        }
    }

    private void callReceived(NodeId from, Frame frame) {
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
                        answer -> loop.post(() -> membership.send(from, FrameType.ANSWER, frame.requestId(), answer)));
    }

    private void answerReceived(NodeId from, Frame frame) {
        CompletableFuture<byte[]> answer = pending.remove(frame.requestId());
        if (answer != null) {
            answer.complete(frame.body());
        }
    }

    private static byte[] withMethodNumber(Method method, byte[] body) {
        byte[] framed = new byte[body.length + 1];
        framed[0] = (byte) method.number;
        System.arraycopy(body, 0, framed, 1, body.length);
        return framed;
    }
}
