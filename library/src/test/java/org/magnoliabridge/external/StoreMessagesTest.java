package org.magnoliabridge.external;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.nio.charset.StandardCharsets;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class StoreMessagesTest {
    private static final ObjectKey KEY = new ObjectKey("batches/b1");

    /** Guards against a call that changes when it is encoded and decoded. */
    @Test
    void callsRoundTrip() throws PlatformException {
        StoreMessages.Call.Request write = (StoreMessages.Call.Request)
                roundTrip(new StoreMessages.Call.Request(new StoreRequest.Write(KEY, 7, bytes("{}"))));
        StoreRequest.Write read = (StoreRequest.Write) write.request();
        assertThat(read.key(), is(KEY));
        assertThat(read.expectedVersion(), is(7L));
        assertThat(new String(read.value(), StandardCharsets.UTF_8), is("{}"));
        for (StoreRequest request : List.of(
                new StoreRequest.Read(KEY), new StoreRequest.Delete(KEY, 3), new StoreRequest.List("batches"))) {
            StoreMessages.Call call = new StoreMessages.Call.Request(request);
            assertThat(roundTrip(call), is(call));
        }
        StoreMessages.Call watch = new StoreMessages.Call.Watch("config", 12, 3_000);
        assertThat(roundTrip(watch), is(watch));
    }

    /** Guards against a reply that changes when it is encoded and decoded. */
    @Test
    void repliesRoundTrip() throws PlatformException {
        for (StoreReply reply : List.of(
                new StoreReply.NotFound(),
                new StoreReply.Written(8),
                new StoreReply.Conflict(),
                new StoreReply.Unavailable(),
                new StoreReply.Unknown(),
                new StoreReply.Listed(new ObjectStore.Listing(4, List.of(new ObjectStore.Entry(KEY, 0)))))) {
            StoreMessages.Result result = new StoreMessages.Result.Replied(reply);
            assertThat(StoreMessages.result(StoreMessages.pack(result)), is(result));
        }
        StoreMessages.Result found =
                new StoreMessages.Result.Replied(new StoreReply.Found(new StoredObject(KEY, 9, bytes("[1]"))));
        StoreMessages.Result.Replied read =
                (StoreMessages.Result.Replied) StoreMessages.result(StoreMessages.pack(found));
        assertThat(((StoreReply.Found) read.reply()).object().version(), is(9L));
        StoreMessages.Result tooOld = new StoreMessages.Result.TooOld();
        assertThat(StoreMessages.result(StoreMessages.pack(tooOld)), is(tooOld));
    }

    /** Guards against malformed bytes from another node that cause an unexpected exception. */
    @Property(tries = 1_000)
    void arbitraryBytesAreRefused(@ForAll byte[] bytes) {
        try {
            StoreMessages.call(bytes);
            StoreMessages.result(bytes);
        } catch (PlatformException.Malformed e) {
            assertThat(e.getMessage() != null, is(true));
        }
    }

    private static StoreMessages.Call roundTrip(StoreMessages.Call call) throws PlatformException {
        return StoreMessages.call(StoreMessages.pack(call));
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
