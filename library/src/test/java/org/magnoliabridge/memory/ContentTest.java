package org.magnoliabridge.memory;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.sameInstance;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.ReadOnlyBufferException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class ContentTest {
    private static final byte[] BYTES = {1, 2, 3, (byte) 0xff};

    /** Guards against content that is altered where two blocks meet, or read differently each time. */
    @Property(tries = 200)
    void keepsTheBytesInOrder(@ForAll @Size(max = 10) List<@IntRange(max = 300) Integer> sizes, @ForAll long seed)
            throws IOException {
        Random random = new Random(seed);
        ByteArrayOutputStream expected = new ByteArrayOutputStream();
        List<ByteBuffer> blocks = new ArrayList<>();
        for (int size : sizes) {
            byte[] block = new byte[size];
            random.nextBytes(block);
            expected.writeBytes(block);
            blocks.add(ByteBuffer.wrap(block));
        }
        Content content = Content.of(blocks);
        for (int i = 0; i < 2; i++) {
            assertThat(content.size(), is((long) expected.size()));
            assertThat(content.toArray(), is(expected.toByteArray()));
            assertThat(content.newInputStream().readAllBytes(), is(expected.toByteArray()));
            assertThat(singly(content), is(expected.toByteArray()));
        }
    }

    private static byte[] singly(Content content) throws IOException {
        ByteArrayOutputStream read = new ByteArrayOutputStream();
        try (InputStream in = content.newInputStream()) {
            for (int b = in.read(); b >= 0; b = in.read()) {
                read.write(b);
            }
        }
        return read.toByteArray();
    }

    /** Guards against a part of a buffer that was not meant, such as the unused end of a block. */
    @Test
    void takesTheRemainingBytesOfABuffer() {
        Content content = Content.of(List.of(ByteBuffer.wrap(BYTES, 1, 2)));
        assertThat(content.toArray(), is(new byte[] {2, 3}));
        assertThat(content.buffers().getFirst().remaining(), is(2));
    }

    /** Guards against one reader that moves the position of another, or changes the bytes. */
    @Test
    void readersAreIndependent() {
        ByteBuffer block = ByteBuffer.wrap(BYTES);
        Content content = Content.of(List.of(block));
        ByteBuffer first = content.buffers().getFirst();
        first.get();
        block.position(3);
        assertThat(content.buffers().getFirst().remaining(), is(BYTES.length));
        assertThat(content.toArray(), is(BYTES));
        assertThrows(ReadOnlyBufferException.class, () -> first.put((byte) 0));
    }

    /** Guards against empty content that fails or has a block. */
    @Test
    void emptyContentHasNoBytes() throws IOException {
        assertThat(Content.of(new byte[0]), is(sameInstance(Content.EMPTY)));
        assertThat(Content.EMPTY.size(), is(0L));
        assertThat(Content.EMPTY.toArray().length, is(0));
        assertThat(Content.EMPTY.newInputStream().read(), is(-1));
        assertThat(Content.EMPTY.buffers().isEmpty(), is(true));
    }
}
