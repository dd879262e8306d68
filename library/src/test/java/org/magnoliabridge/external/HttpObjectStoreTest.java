package org.magnoliabridge.external;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Optional;
import org.junit.jupiter.api.Test;
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
        ScriptedCaller caller = new ScriptedCaller(200, "etag", "\"8\"", "");
        assertThat(store(caller).write(KEY, 7, new byte[0]), is(8L));
        assertThat(caller.last.headers().get("If-Match"), is("\"7\""));
        store(caller).write(KEY, ObjectStore.ABSENT, new byte[0]);
        assertThat(caller.last.headers().get("If-None-Match"), is("*"));
    }

    /** Guards against treating a write whose answer was lost as one that took no effect. */
    @Test
    void lostWritesAreUnknownAndLostReadsAreNot() {
        ObjectStore lost = store(new ScriptedCaller(new HttpFailure.Lost("closed", null)));
        assertThrows(PlatformException.OutcomeUnknown.class, () -> lost.write(KEY, 1, new byte[0]));
        assertThrows(PlatformException.Unavailable.class, () -> lost.read(KEY));
        ObjectStore unsent = store(new ScriptedCaller(new HttpFailure.NotSent("refused", null)));
        assertThrows(PlatformException.Unavailable.class, () -> unsent.write(KEY, 1, new byte[0]));
        ObjectStore broken = store(new ScriptedCaller(500, "etag", "", ""));
        assertThrows(PlatformException.OutcomeUnknown.class, () -> broken.delete(KEY, 1));
    }

    /** Guards against confusing refusals: a conflict, an old revision and a rate limit need different reactions. */
    @Test
    void refusalsKeepTheirKind() throws PlatformException {
        assertThat(store(new ScriptedCaller(404, "etag", "", "")).read(KEY), is(Optional.empty()));
        ObjectStore conflict = store(new ScriptedCaller(412, "etag", "", ""));
        assertThrows(PlatformException.VersionConflict.class, () -> conflict.write(KEY, 1, new byte[0]));
        ObjectStore old = store(new ScriptedCaller(410, "etag", "", ""));
        assertThrows(PlatformException.RevisionTooOld.class, () -> old.watch("leases/", 1, 10));
        ScriptedCaller limited = new ScriptedCaller(429, "retry-after", "0.25", "");
        WeightStore weights = new HttpWeightStore(limited, ADDRESS, HttpLimits.total(100));
        PlatformException.RateLimited refusal = assertThrows(
                PlatformException.RateLimited.class,
                () -> weights.permitLoad(new ServiceId("coachgen"), new WeightVersion(3)));
        assertThat(refusal.retryAfterMs(), is(250L));
    }

    /** Guards against reading a malformed listing as an empty one, which would look as if all objects were gone. */
    @Test
    void listingsAreChecked() throws PlatformException {
        String good = "{\"revision\":9,\"objects\":[{\"key\":\"leases/orders\",\"version\":4}]}";
        ObjectStore.Listing listing =
                store(new ScriptedCaller(200, "etag", "", good)).list("leases/");
        assertThat(listing.entries().get(0), is(new ObjectStore.Entry(KEY, 4)));
        ObjectStore bad = store(new ScriptedCaller(200, "etag", "", "{\"revision\":9}"));
        assertThrows(PlatformException.Malformed.class, () -> bad.list("leases/"));
    }

    private static ObjectStore store(HttpCaller caller) {
        return new HttpObjectStore(caller, ADDRESS, HttpLimits.total(100));
    }
}
