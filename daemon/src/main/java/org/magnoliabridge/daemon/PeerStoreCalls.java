package org.magnoliabridge.daemon;

import com.google.common.flogger.FluentLogger;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.magnoliabridge.core.MonotonicClock;
import org.magnoliabridge.external.CallStart;
import org.magnoliabridge.external.ObjectStore;
import org.magnoliabridge.external.PlatformException;
import org.magnoliabridge.external.StoreMessages;
import org.magnoliabridge.external.StoreReply;
import org.magnoliabridge.ids.ProcessName;
import org.magnoliabridge.telemetry.LogFields;

/**
 * Makes store calls for other nodes. A call that has not begun within its time limit is not made.
 *
 * <p>A read that the store does not answer within its limit is answered as unavailable; a write that has begun is
 * answered by the store only.
 */
final class PeerStoreCalls {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    // Sooner than the other node's time limit: a late answer tells that the store is late here too, and silence does
    // not.
    static final long SERVE_LIMIT_MS = 350;
    private static final StoreMessages.Result UNAVAILABLE =
            new StoreMessages.Result.Replied(new StoreReply.Unavailable());

    private final ObjectStore store;
    private final MonotonicClock clock;
    private final Executor threads;

    /**
     * Creates an object that makes calls.
     *
     * @param store the store without relaying, so that a call of another node is never relayed to a third node
     * @param threads runs each call on a thread of its own
     */
    PeerStoreCalls(ObjectStore store, MonotonicClock clock, Executor threads) {
        this.store = Objects.requireNonNull(store);
        this.clock = Objects.requireNonNull(clock);
        this.threads = Objects.requireNonNull(threads);
    }

    /** Answers that the store is unavailable, without a call. */
    static void refuse(Consumer<byte[]> answer) {
        answer.accept(StoreMessages.pack(UNAVAILABLE));
    }

    /** Makes a call for another node. */
    void serve(ProcessName from, byte[] body, Consumer<byte[]> answer) {
        StoreMessages.Call call;
        try {
            call = StoreMessages.call(body);
        } catch (PlatformException.Malformed e) {
            LOG.atWarning()
                    .withCause(e)
                    .with(LogFields.PEER, from.node().value())
                    .log("malformed store call");
            return;
        }
        long limitMs = SERVE_LIMIT_MS + (call instanceof StoreMessages.Call.Watch watch ? watch.waitMs() : 0);
        CompletableFuture<StoreMessages.Result> made = new CompletableFuture<>();
        CallStart start = new CallStart(clock, clock.nowMs() + limitMs, () -> made.complete(UNAVAILABLE));
        threads.execute(() -> {
            if (start.begin()) {
                made.complete(RelayedStore.perform(store, call));
            }
        });
        CompletableFuture<StoreMessages.Result> limited =
                made.copy().completeOnTimeout(UNAVAILABLE, limitMs, TimeUnit.MILLISECONDS);
        CompletableFuture<Void> unusedEnd = limited.thenRun(start::giveUp);
        CompletableFuture<StoreMessages.Result> result = StoreRelay.mayChangeStore(call) ? made : limited;
        CompletableFuture<Void> unusedAnswer = result.thenAccept(r -> answer.accept(StoreMessages.pack(r)));
    }
}
