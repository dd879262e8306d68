package org.magnoliabridge.wire;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.ByteArrayInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.util.Arrays;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.magnoliabridge.ids.NodeId;
import org.magnoliabridge.wire.FrameException.Reason;

class FrameCodecTest {
    private static final NodeId NODE = new NodeId("trent-1");
    private final MacKey key = new MacKey(new byte[32]);

    private Frame read(byte[] bytes, long sequence, MacKey with) throws IOException {
        DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes));
        return FrameCodec.decode(FrameCodec.read(in, FrameCodec.MAX_BYTES), sequence, with);
    }

    private Reason reason(byte[] bytes, long sequence) {
        return assertThrows(FrameException.class, () -> read(bytes, sequence, key))
                .reason();
    }

    /** Guards against content lost between two nodes. */
    @Property(tries = 200, seed = "42")
    void decodesWhatItEncodes(@ForAll FrameType type, @ForAll long request, @ForAll byte[] body) throws Exception {
        Frame frame = read(FrameCodec.encode(new Frame(type, NODE, request, body), 7, key), 7, key);
        assertThat(frame.type(), is(type));
        assertThat(frame.requestId(), is(request));
        assertThat(Arrays.equals(frame.body(), body), is(true));
    }

    /** Guards against a truncated, altered, replayed or misdirected frame being taken for a valid one. */
    @Property(tries = 500, seed = "43")
    void refusesEveryAlteredFrame(
            @ForAll @Size(max = 64) byte[] body,
            @ForAll @IntRange(max = 4_000) int at,
            @ForAll @IntRange(max = 7) int bit)
            throws Exception {
        byte[] good = FrameCodec.encode(new Frame(FrameType.PING, NODE, 1, body), 3, key);
        assertThat(reason(Arrays.copyOf(good, at % good.length), 3), is(Reason.TRUNCATED));
        byte[] altered = good.clone();
        altered[at % good.length] ^= (byte) (1 << bit);
        assertThrows(FrameException.class, () -> read(altered, 3, key));
        assertThat(reason(good, 4), is(Reason.BAD_SEQUENCE));
        FrameException e = assertThrows(FrameException.class, () -> read(good, 3, new MacKey(new byte[] {1})));
        assertThat(e.reason(), is(Reason.BAD_MAC));
    }

    /** Guards against a crash on content that has a valid HMAC, as from a node with a fault or another version. */
    @Property(tries = 500, seed = "44")
    void refusesAnyOtherContent(@ForAll @Size(max = 200) byte[] array) {
        byte[] mac = key.sign(new byte[] {1}, array);
        byte[] bytes = new byte[33 + array.length];
        bytes[0] = 1;
        System.arraycopy(mac, 0, bytes, 1, mac.length);
        System.arraycopy(array, 0, bytes, 33, array.length);
        assertThrows(FrameException.class, () -> FrameCodec.decode(bytes, 1, key));
    }

    /** Guards against memory set aside for a claimed length. */
    @Property(tries = 100, seed = "45")
    void refusesOversizedLengths(@ForAll @IntRange(min = (1 << 20) + 1) int length) {
        byte[] bytes = {(byte) (length >> 24), (byte) (length >> 16), (byte) (length >> 8), (byte) length, 1};
        assertThat(reason(bytes, 1), is(Reason.OVERSIZED));
        Frame frame = new Frame(FrameType.ITEMS, NODE, 1, new byte[1 << 20]);
        FrameException e = assertThrows(FrameException.class, () -> FrameCodec.encode(frame, 1, key));
        assertThat(e.reason(), equalTo(Reason.OVERSIZED));
    }
}
