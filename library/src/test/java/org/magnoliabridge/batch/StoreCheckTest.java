package org.magnoliabridge.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.magnoliabridge.external.MemoryStore;
import org.magnoliabridge.external.ObjectStore;
import org.magnoliabridge.external.PlatformException;
import org.magnoliabridge.ids.BatchId;

class StoreCheckTest {
    private static final BatchId BATCH = new BatchId("b");
    private static final long CANCEL_MS = 3_000;
    private static final long CONNECT_MS = 400;

    private final MemoryStore memory = new MemoryStore();
    private final List<BatchId> ended = new ArrayList<>();
    private final List<BatchHead> open = new ArrayList<>();
    private final StartGate gate = new StartGate();
    private Optional<PlatformException> failure = Optional.empty();
    private long nowMs = 1_000;
    // Called while the heads are being listed.
    private Runnable duringRead = () -> {};

    private final StoreCheck check =
            new StoreCheck(new StoredBatches(store(), () -> nowMs), gate, () -> nowMs, new StoreCheck.Receiver() {
                @Override
                public void ended(BatchId batch) {
                    ended.add(batch);
                }

                @Override
                public void open(List<BatchHead> heads) {
                    open.clear();
                    open.addAll(heads);
                }
            });

    /** Guards against items that are sent while the control thread has not handled the end of their batch yet. */
    @Test
    void runIsNotSentOnceItsEndWasRead() throws Exception {
        store(Batches.head("b", 1));
        check.run();
        assertThat(gate.decide(nowMs, BATCH), is(StartGate.Decision.SEND));
        assertThat(open.stream().map(BatchHead::id).toList(), contains(BATCH));
        endInStore();
        check.run();
        assertThat(gate.decide(nowMs, BATCH), is(StartGate.Decision.ENDED));
        assertThat(open, empty());
    }

    /** Guards against items that a runner sends later than 3 s after the end of their batch, whatever it missed. */
    @Test
    void noRunIsSentLongAfterAnEndThatTheRunnerMissed() throws Exception {
        store(Batches.head("b", 1));
        // The end is confirmed right after the store has answered.
        check.run();
        endInStore();
        long endedMs = nowMs;
        for (; nowMs <= endedMs + 10_000; nowMs += 10) {
            boolean sent = gate.decide(nowMs, BATCH) == StartGate.Decision.SEND;
            assertThat("sent at " + nowMs, sent && nowMs + CONNECT_MS - endedMs > CANCEL_MS, is(false));
        }
    }

    /** Guards against a check that covers the time of its answer, although an end came while the store was read. */
    @Test
    void checkCoversTheTimeUntilItsStartOnly() throws Exception {
        store(Batches.head("b", 1));
        duringRead = () -> nowMs += 2_000;
        check.run();
        assertThat(gate.decide(nowMs, BATCH), is(StartGate.Decision.SEND));
        nowMs += StartGate.MAX_CHECK_AGE_MS - 2_000 + 1;
        assertThat(gate.decide(nowMs, BATCH), is(StartGate.Decision.CHECK_FIRST));
    }

    /** Guards against items of an ended batch that go on for as long as only the runner cannot read the store. */
    @Test
    void runsAreNotSentForLongWhileOnlyThisNodeCannotReadTheStore() throws Exception {
        store(Batches.head("b", 1));
        check.run();
        endInStore();
        long endedMs = nowMs;
        failure = Optional.of(new PlatformException.Unavailable("list got no answer in time", null));
        duringRead = () -> nowMs += 1_600;
        while (nowMs < endedMs + 20_000) {
            check.run();
            boolean sent = gate.decide(nowMs, BATCH) == StartGate.Decision.SEND;
            assertThat("sent at " + nowMs, sent && nowMs + CONNECT_MS - endedMs > CANCEL_MS, is(false));
        }
        failure = Optional.empty();
        check.run();
        assertThat(gate.decide(nowMs, BATCH), is(StartGate.Decision.ENDED));
    }

    /** Guards against batches that stop because the store cannot be reached from any node. */
    @Test
    void runsAreSentWhileTheStoreIsUnreachable() throws Exception {
        store(Batches.head("b", 1));
        failure = Optional.of(PlatformException.Unavailable.atOtherNodes("unreachable"));
        duringRead = () -> nowMs += 1_600;
        for (int i = 0; i < 20; i++) {
            check.run();
            for (long waitedMs = 0; waitedMs < StartGate.CHECK_PERIOD_MS; waitedMs += 100) {
                assertThat(gate.decide(nowMs, BATCH), is(StartGate.Decision.SEND));
                nowMs += 100;
            }
        }
    }

    /** Guards against a control thread that handles the ends of all earlier batches again at each check. */
    @Test
    void endIsReportedOnce() throws Exception {
        store(Batches.head("b", 1));
        endInStore();
        check.run();
        check.run();
        assertThat(ended, contains(BATCH));
    }

    /** Guards against one unreadable entry that hides the ends of all batches. */
    @Test
    void endIsFoundBesideAnUnreadableHead() throws Exception {
        memory.write(BatchKeys.head(new BatchId("a")), ObjectStore.ABSENT, new byte[] {'{'});
        store(Batches.head("b", 1));
        endInStore();
        check.run();
        assertThat(gate.decide(nowMs, BATCH), is(StartGate.Decision.ENDED));
        assertThat(ended, contains(BATCH));
    }

    private void store(BatchHead head) throws PlatformException {
        memory.write(BatchKeys.head(head.id()), ObjectStore.ABSENT, BatchCodec.head(head));
    }

    private void endInStore() throws Exception {
        Batches.end(new StoredBatches(memory, () -> nowMs), BATCH);
    }

    private ObjectStore store() {
        return (ObjectStore) Proxy.newProxyInstance(
                ObjectStore.class.getClassLoader(), new Class<?>[] {ObjectStore.class}, (proxy, method, args) -> {
                    if (method.getName().equals("list")) {
                        duringRead.run();
                    }
                    if (failure.isPresent()) {
                        throw failure.get();
                    }
                    return method.invoke(memory, args);
                });
    }
}
