package org.magnoliabridge.daemon;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.magnoliabridge.external.ObjectKey;
import org.magnoliabridge.external.ObjectStore;
import org.magnoliabridge.external.StoreMessages;
import org.magnoliabridge.external.StoreReply;
import org.magnoliabridge.external.StoreRequest;
import org.magnoliabridge.external.StoredObject;
import org.magnoliabridge.ids.Incarnation;
import org.magnoliabridge.ids.NodeId;
import org.magnoliabridge.ids.ProcessName;

class PeerStoreCallsTest {
    private static final ProcessName FROM = new ProcessName(new NodeId("n2"), new Incarnation(1));
    private static final ObjectKey KEY = new ObjectKey("batches/b1");

    private final CountDownLatch storeAnswers = new CountDownLatch(1);
    private final AtomicInteger calls = new AtomicInteger();
    private int started;

    @AfterEach
    void release() {
        storeAnswers.countDown();
    }

    /** Guards against batches that stop while the store answers no node, because no node says so. */
    @Test
    void readThatTheStoreDoesNotAnswerIsAnsweredAsUnavailable() throws Exception {
        assertThat(reply(new StoreRequest.List("batches/")), instanceOf(StoreReply.Unavailable.class));
        assertThat(reply(new StoreRequest.Read(KEY)), instanceOf(StoreReply.Unavailable.class));
    }

    /** Guards against a write that is reported as not made and takes effect later. */
    @Test
    void writeIsAnsweredOnlyByTheStore() throws Exception {
        CompletableFuture<byte[]> write = serve(new StoreRequest.Write(KEY, 1, new byte[0]));
        assertThat(reply(new StoreRequest.Read(KEY)), instanceOf(StoreReply.Unavailable.class));
        assertThat("answered before the store", write.isDone(), is(false));
        storeAnswers.countDown();
        assertThat(reply(write), is(new StoreReply.Written(2)));
    }

    /** Guards against a write that is sent after the node that asked for it has given it up. */
    @Test
    void writeWhoseThreadStartsTooLateIsNotSent() throws Exception {
        List<Runnable> held = new ArrayList<>();
        CompletableFuture<byte[]> write = serve(new StoreRequest.Write(KEY, 1, new byte[0]), held::add);
        storeAnswers.countDown();
        // Answered although the thread has not started, so the other node can ask a third one.
        assertThat(reply(write), is(new StoreReply.Unavailable()));
        held.forEach(Runnable::run);
        assertThat(calls.get(), is(0));
    }

    /** Guards against a call that is sent after its limit because the timer is late too. */
    @Test
    void writeThatWouldBeginAfterItsLimitIsNotSent() throws Exception {
        AtomicLong nowMs = new AtomicLong();
        PeerStoreCalls late = new PeerStoreCalls(new LateStore(), nowMs::get, call -> {
            nowMs.addAndGet(PeerStoreCalls.SERVE_LIMIT_MS);
            call.run();
        });
        storeAnswers.countDown();
        CompletableFuture<byte[]> write = new CompletableFuture<>();
        late.serve(FROM, pack(new StoreRequest.Write(KEY, 1, new byte[0])), write::complete);
        assertThat(reply(write), is(new StoreReply.Unavailable()));
        assertThat(calls.get(), is(0));
    }

    private StoreReply reply(StoreRequest request) throws Exception {
        return reply(serve(request));
    }

    private static StoreReply reply(CompletableFuture<byte[]> answer) throws Exception {
        StoreMessages.Result result = StoreMessages.result(answer.get(10, TimeUnit.SECONDS));
        return ((StoreMessages.Result.Replied) result).reply();
    }

    private CompletableFuture<byte[]> serve(StoreRequest request) {
        return serve(request, call -> {
            Thread.ofVirtual().start(call);
            started++;
            while (calls.get() < started) {
                LockSupport.parkNanos(100_000);
            }
        });
    }

    private CompletableFuture<byte[]> serve(StoreRequest request, Executor threads) {
        CompletableFuture<byte[]> answer = new CompletableFuture<>();
        // The clock stands still, so a call is too late only if its thread starts after the time limit of the answer.
        new PeerStoreCalls(new LateStore(), () -> 0, threads).serve(FROM, pack(request), answer::complete);
        return answer;
    }

    private static byte[] pack(StoreRequest request) {
        return StoreMessages.pack(new StoreMessages.Call.Request(request));
    }

    /** A store that answers no call until the test lets it. */
    private final class LateStore implements ObjectStore {
        @Override
        public Optional<StoredObject> read(ObjectKey key) {
            return late(Optional.empty());
        }

        @Override
        public long write(ObjectKey key, long expectedVersion, byte[] value) {
            return late(2L);
        }

        @Override
        public void delete(ObjectKey key, long expectedVersion) {
            late(0);
        }

        @Override
        public Listing list(String prefix) {
            return late(new Listing(1, List.of()));
        }

        @Override
        public Listing watch(String prefix, long sinceRevision, long waitMs) {
            return late(new Listing(1, List.of()));
        }

        private <T> T late(T result) {
            calls.incrementAndGet();
            try {
                storeAnswers.await();
                return result;
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }
    }
}
