package org.magnoliabridge.platform;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.magnoliabridge.http.HttpAnswer;
import org.magnoliabridge.http.HttpCall;
import org.magnoliabridge.http.HttpCaller;
import org.magnoliabridge.http.HttpFailure;
import org.magnoliabridge.http.HttpLimits;
import org.magnoliabridge.ids.ServiceId;
import org.magnoliabridge.ids.WeightVersion;

class HttpObjectStoreTest {
    private static final InetSocketAddress ADDRESS = new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);
    private static final ObjectKey KEY = new ObjectKey("leases/orders");

    /** Guards against an unconditional write, which would let two holders overwrite each other. */
    @Test
    void writesConditionally() throws PlatformException {
        Scripted caller = new Scripted(answer(200, "\"8\"", ""));
        assertThat(store(caller).write(KEY, 7, new byte[0]), is(8L));
        assertThat(caller.last.headers().get("If-Match"), is("\"7\""));
        store(caller).write(KEY, ObjectStore.ABSENT, new byte[0]);
        assertThat(caller.last.headers().get("If-None-Match"), is("*"));
    }

    /** Guards against taking a write whose answer was lost for one that took no effect. */
    @Test
    void lostWritesAreUnknownAndLostReadsAreNot() {
        ObjectStore lost = store(new Scripted(new HttpFailure.Lost("closed", null)));
        assertThrows(PlatformException.OutcomeUnknown.class, () -> lost.write(KEY, 1, new byte[0]));
        assertThrows(PlatformException.Unavailable.class, () -> lost.read(KEY));
        ObjectStore unsent = store(new Scripted(new HttpFailure.NotSent("refused", null)));
        assertThrows(PlatformException.Unavailable.class, () -> unsent.write(KEY, 1, new byte[0]));
        ObjectStore broken = store(new Scripted(answer(500, "", "")));
        assertThrows(PlatformException.OutcomeUnknown.class, () -> broken.delete(KEY, 1));
    }

    /** Guards against confusing refusals: a conflict, an old revision and a rate limit need different reactions. */
    @Test
    void refusalsKeepTheirKind() throws PlatformException {
        assertThat(store(new Scripted(answer(404, "", ""))).read(KEY), is(Optional.empty()));
        ObjectStore conflict = store(new Scripted(answer(412, "", "")));
        assertThrows(PlatformException.VersionConflict.class, () -> conflict.write(KEY, 1, new byte[0]));
        ObjectStore old = store(new Scripted(answer(410, "", "")));
        assertThrows(PlatformException.RevisionTooOld.class, () -> old.watch("leases/", 1, 10));
        HttpAnswer limited = new HttpAnswer(429, Map.of("retry-after", "0.25"), new byte[0]);
        WeightStore weights = new HttpWeightStore(new Scripted(limited), ADDRESS, HttpLimits.total(100));
        PlatformException.RateLimited refusal = assertThrows(
                PlatformException.RateLimited.class,
                () -> weights.permitLoad(new ServiceId("coachgen"), new WeightVersion(3)));
        assertThat(refusal.retryAfterMs(), is(250L));
    }

    /** Guards against reading a malformed listing as an empty one, which would look as if all objects were gone. */
    @Test
    void listingsAreChecked() throws PlatformException {
        String good = "{\"revision\":9,\"objects\":[{\"key\":\"leases/orders\",\"version\":4}]}";
        ObjectStore.Listing listing = store(new Scripted(answer(200, "", good))).list("leases/");
        assertThat(listing.entries().get(0), is(new ObjectStore.Entry(KEY, 4)));
        ObjectStore bad = store(new Scripted(answer(200, "", "{\"revision\":9}")));
        assertThrows(PlatformException.Malformed.class, () -> bad.list("leases/"));
    }

    private static ObjectStore store(HttpCaller caller) {
        return new HttpObjectStore(caller, ADDRESS, HttpLimits.total(100));
    }

    private static HttpAnswer answer(int status, String tag, String body) {
        return new HttpAnswer(status, Map.of("etag", tag), body.getBytes(StandardCharsets.UTF_8));
    }

    private static final class Scripted implements HttpCaller {
        private final Object result;
        private HttpCall last;

        Scripted(Object result) {
            this.result = result;
        }

        @Override
        public HttpAnswer call(HttpCall call) throws HttpFailure {
            last = call;
            if (result instanceof HttpFailure failure) {
                throw failure;
            }
            return (HttpAnswer) result;
        }

        @Override
        public HttpAnswer stream(HttpCall call, LineReceiver lines) throws HttpFailure {
            return call(call);
        }

        @Override
        public void close() {}
    }
}
