package org.magnoliabridge.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.codahale.metrics.MetricRegistry;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.magnoliabridge.core.MonotonicClock;
import org.magnoliabridge.memory.Content;
import org.magnoliabridge.memory.Holding;
import org.magnoliabridge.memory.MemoryClaim;
import org.magnoliabridge.memory.SharedMemory;

/** Tests answers that share the memory of a node with other holdings. */
class SharedAnswerMemoryTest {
    private static final int MIB = 1 << 20;
    private static final int LIMIT = 8 * MIB;
    private static final int LARGE_LIMIT = 7 * MIB;
    private static final long AWAIT_MS = 10_000;
    private static final byte[] PIECE = new byte[8 * 1024];

    private final SharedMemory node = new SharedMemory(LIMIT, MonotonicClock.system(), new MetricRegistry());
    private final AnswerMemory answers = new AnswerMemory(4 * MIB, node);

    @AfterEach
    void close() {
        node.close();
    }

    private static void append(AnswerMemory.Body body, int bytes) throws HttpFailure {
        for (int i = 0; i < bytes; i += PIECE.length) {
            body.bytes(PIECE);
        }
    }

    private void awaitWaiting() throws InterruptedException {
        while (node.waiting() == 0) {
            TimeUnit.MILLISECONDS.sleep(1);
        }
    }

    /** Guards against an answer that fails although the bodies that fill the memory end soon. */
    @Test
    void anAnswerWaitsForRoom() throws Exception {
        MemoryClaim others = node.open(Holding.REQUEST_BODY, "10.0.0.1", new Quiet());
        assertThat(others.tryTake(LARGE_LIMIT), is(true));
        try (AnswerMemory.Body body = answers.newBody(MIB, "10.0.0.2");
                ExecutorService threads = Executors.newSingleThreadExecutor()) {
            Future<Integer> received = threads.submit(() -> {
                append(body, MIB);
                return body.toArray().length;
            });
            awaitWaiting();
            others.close();
            assertThat(received.get(AWAIT_MS, TimeUnit.MILLISECONDS), is(MIB));
        }
    }

    /** Guards against an answer that waits for ever, or takes more than there is, and against blaming its server. */
    @Test
    void anAnswerWithoutRoomFails() throws Exception {
        try (MemoryClaim others = node.open(Holding.BATCH_READ, "10.0.0.1");
                AnswerMemory.Body body = answers.newBody(MIB, "10.0.0.2")) {
            assertThat(others.tryTake(LARGE_LIMIT), is(true));
            HttpFailure failure = assertThrows(HttpFailure.TooLarge.class, () -> append(body, MIB));
            assertThat(failure, is(instanceOf(HttpFailure.NoRoom.class)));
            assertThat(node.bytes(), is(lessThan((long) LIMIT)));
        }
        assertThat(node.bytes(), is(0L));
    }

    /** Guards against small answers that fail while large bodies fill the memory. */
    @Test
    void smallAnswersHaveRoom() throws Exception {
        try (MemoryClaim others = node.open(Holding.BATCH_READ, "10.0.0.1")) {
            assertThat(others.tryTake(LARGE_LIMIT), is(true));
            for (int i = 0; i < 100; i++) {
                try (AnswerMemory.Body body = answers.newBody(MIB, "10.0.0.2")) {
                    append(body, PIECE.length);
                    assertThat(body.toArray().length, is(PIECE.length));
                }
            }
        }
        assertThat(node.bytes(), is(0L));
    }

    /** Guards against an answer that stops coming and keeps requests out. */
    @Test
    void anAnswerThatStopsGivesWay() throws Exception {
        try (AnswerMemory.Body body = answers.newBody(4 * MIB, "10.0.0.1");
                MemoryClaim other = node.open(Holding.BATCH_READ, "10.0.0.2")) {
            append(body, 3 * MIB);
            TimeUnit.MILLISECONDS.sleep(4_000);
            assertThat(other.take(6 * MIB, 2_000), is(true));
            assertThrows(HttpFailure.NoRoom.class, () -> body.bytes(PIECE));
            assertThat(answers.bytes(), is(0L));
            assertThat(node.bytes(), is(6L * MIB));
        }
        assertThat(node.bytes(), is(0L));
    }

    /** Guards against a complete answer whose bytes are counted twice, or not at all, until it is passed on. */
    @Test
    void aLargeAnswerIsTakenOver() throws Exception {
        Content content;
        try (AnswerMemory.Body body = answers.newBody(2 * MIB, "10.0.0.1")) {
            append(body, MIB);
            content = body.toContent();
        }
        long received = node.bytes();
        assertThat(received, is(greaterThanOrEqualTo((long) MIB)));
        assertThat(answers.bytes(), is(0L));
        try (MemoryClaim caller = node.open(Holding.CALLER_ANSWER, "10.0.0.2", new Quiet())) {
            assertThat(node.takeOver(content, caller), is(true));
            assertThat(node.takeOver(content, caller), is(false));
            assertThat(caller.bytes(), is(received));
            assertThat(node.bytes(Holding.CALLER_ANSWER), is(received));
            assertThat(node.bytes(), is(received));
        }
        assertThat(node.bytes(), is(0L));
    }

    /** Guards against room that is lost because nobody passes an answer on. */
    @Test
    void whatNobodyTakesOverIsReturned() throws Exception {
        try (AnswerMemory.Body body = answers.newBody(2 * MIB, "10.0.0.1")) {
            append(body, MIB);
            assertThat(body.toContent().size(), is((long) MIB));
        }
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(AWAIT_MS);
        while (node.bytes() > 0 && System.nanoTime() < endNanos) {
            TimeUnit.MILLISECONDS.sleep(5);
        }
        assertThat(node.bytes(), is(0L));
    }

    private static final class Quiet implements MemoryClaim.Owner {
        @Override
        public void granted() {}

        @Override
        public void refused() {}

        @Override
        public void evicted() {}
    }
}
