package org.magnoliabridge.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class AnswerMemoryTest {
    private static final int LIMIT_BYTES = 1 << 20;
    private static final byte[] PIECE = new byte[8 * 1024];

    private final AnswerMemory memory = new AnswerMemory(LIMIT_BYTES);

    /** Guards against a body that is altered where two blocks meet. */
    @Property(tries = 200)
    void bodyIsKeptWhole(@ForAll @Size(max = 20) List<@IntRange(max = 20_000) Integer> sizes, @ForAll long seed)
            throws HttpFailure {
        Random random = new Random(seed);
        ByteArrayOutputStream expected = new ByteArrayOutputStream();
        AnswerMemory large = new AnswerMemory(LIMIT_BYTES);
        try (AnswerMemory.Body body = large.newBody(LIMIT_BYTES)) {
            for (int size : sizes) {
                byte[] piece = new byte[size];
                random.nextBytes(piece);
                expected.writeBytes(piece);
                body.bytes(piece);
            }
            assertThat(body.toArray(), is(expected.toByteArray()));
        }
        assertThat(large.bytes(), is(0L));
    }

    /** Guards against answers without end that fill the memory together, or displace small answers. */
    @Test
    void largestBodyIsDroppedBeyondTheLimit() throws HttpFailure {
        try (AnswerMemory.Body small = memory.newBody(LIMIT_BYTES);
                AnswerMemory.Body endless = memory.newBody(Integer.MAX_VALUE);
                AnswerMemory.Body other = memory.newBody(Integer.MAX_VALUE)) {
            small.bytes(PIECE);
            assertThrows(HttpFailure.TooLarge.class, () -> {
                while (true) {
                    other.bytes(PIECE);
                    endless.bytes(PIECE);
                    endless.bytes(PIECE);
                    assertThat(memory.bytes(), is(lessThanOrEqualTo((long) LIMIT_BYTES)));
                }
            });
            other.bytes(PIECE);
            assertThat(small.toArray().length, is(PIECE.length));
            assertThrows(HttpFailure.TooLarge.class, () -> endless.bytes(PIECE));
            assertThrows(HttpFailure.TooLarge.class, endless::toArray);
        }
        assertThat(memory.bytes(), is(0L));
    }

    /** Guards against a body over its own limit that is kept. */
    @Test
    void bodyOverItsOwnLimitIsRefused() throws HttpFailure {
        try (AnswerMemory.Body body = memory.newBody(PIECE.length)) {
            body.bytes(PIECE);
            assertThrows(HttpFailure.TooLarge.class, () -> body.bytes(new byte[1]));
        }
    }

    /** Guards against a body of many small pieces that occupies many times its size. */
    @Test
    void smallPiecesShareBlocks() throws HttpFailure {
        try (AnswerMemory.Body body = memory.newBody(LIMIT_BYTES)) {
            for (int i = 0; i < 100_000; i++) {
                body.bytes(new byte[] {1});
            }
            assertThat(memory.bytes(), is(lessThanOrEqualTo(200_000L)));
        }
    }
}
