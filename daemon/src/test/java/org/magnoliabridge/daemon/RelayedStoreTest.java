package org.magnoliabridge.daemon;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.magnoliabridge.external.ObjectKey;
import org.magnoliabridge.external.ObjectStore;
import org.magnoliabridge.external.PlatformException;
import org.magnoliabridge.external.StoreMessages;
import org.magnoliabridge.external.StoreReply;
import org.magnoliabridge.external.StoreRouteSelector;
import org.magnoliabridge.external.StoredObject;

class RelayedStoreTest {
    private static final ObjectKey KEY = new ObjectKey("batches/b1");
    private static final byte[] VALUE = {'1'};

    private final List<String> direct = new ArrayList<>();
    private final List<StoreMessages.Call> relayed = new ArrayList<>();
    private Optional<PlatformException> failure = Optional.empty();
    private StoreReply reply = new StoreReply.Written(9);
    private long nowMs;
    private long lastWaitMs;
    private final RelayedStore store = new RelayedStore(new DirectStore(), new StoreRouteSelector(), () -> nowMs);

    @BeforeEach
    void join() {
        store.setRelay((call, waitMs) -> {
            relayed.add(call);
            lastWaitMs = waitMs;
            return new StoreMessages.Result.Replied(reply);
        });
    }

    /** Guards against a node that stops working while the store refuses only this node. */
    @Test
    void callThatTheStoreRefusesIsMadeThroughAnotherNode() throws PlatformException {
        failure = Optional.of(new PlatformException.Unavailable("status 503", null));
        assertThat(store.write(KEY, ObjectStore.ABSENT, VALUE), is(9L));
        assertThat(direct.size(), is(1));
        assertThat(store.write(KEY, ObjectStore.ABSENT, VALUE), is(9L));
        assertThat("the store is not called again immediately", direct.size(), is(1));
        assertThat(relayed.size(), is(2));
    }

    /** Guards against a write that takes effect twice, or is reported as failed although it may have taken effect. */
    @Test
    void writeWithUnknownOutcomeIsNotRepeated() {
        failure = Optional.of(new PlatformException.OutcomeUnknown("no answer", null));
        assertThrows(PlatformException.OutcomeUnknown.class, () -> store.write(KEY, ObjectStore.ABSENT, VALUE));
        assertThat(relayed.size(), is(0));
    }

    /** Guards against a node that keeps relaying its calls although the store serves it again. */
    @Test
    void directCallsResumeOnceTheStoreServesAgain() throws PlatformException {
        failure = Optional.of(new PlatformException.Unavailable("status 503", null));
        store.write(KEY, 1, VALUE);
        failure = Optional.empty();
        nowMs += 10_000;
        store.write(KEY, 1, VALUE);
        store.write(KEY, 1, VALUE);
        assertThat(direct.size(), is(3));
    }

    /** Guards against relayed outcomes that reach the caller as a different type. */
    @Test
    void relayedOutcomesKeepTheirTypes() throws PlatformException {
        failure = Optional.of(new PlatformException.Unavailable("status 503", null));
        reply = new StoreReply.Conflict();
        assertThrows(PlatformException.VersionConflict.class, () -> store.write(KEY, 1, VALUE));
        reply = new StoreReply.Unknown();
        assertThrows(PlatformException.OutcomeUnknown.class, () -> store.write(KEY, 1, VALUE));
        reply = new StoreReply.Unavailable();
        assertThrows(PlatformException.Unavailable.class, () -> store.read(KEY));
        reply = new StoreReply.NotFound();
        assertThat(store.read(KEY), is(Optional.empty()));
    }

    /** Guards against treating a single closed watch as an outage of the store. */
    @Test
    void singleClosedWatchIsNotAnOutage() throws PlatformException {
        failure = Optional.of(new PlatformException.Unavailable("cut", null));
        assertThrows(PlatformException.Unavailable.class, () -> store.watch("config", 1, 100));
        failure = Optional.empty();
        store.write(KEY, 1, VALUE);
        assertThat(relayed.size(), is(0));
    }

    /** Guards against a configuration that is seconds late because the node that relays its watch has died. */
    @Test
    void relayedWatchWaitsShortly() throws PlatformException {
        failure = Optional.of(new PlatformException.Unavailable("status 503", null));
        store.write(KEY, 1, VALUE);
        reply = new StoreReply.Listed(new ObjectStore.Listing(3, List.of()));
        assertThat(store.watch("config", 2, 3_000).revision(), is(3L));
        StoreMessages.Call.Watch watch = (StoreMessages.Call.Watch) relayed.getLast();
        assertThat(watch.waitMs(), is(RelayedStore.MAX_RELAYED_WAIT_MS));
        assertThat(lastWaitMs, is(RelayedStore.MAX_RELAYED_WAIT_MS));
    }

    private final class DirectStore implements ObjectStore {
        @Override
        public Optional<StoredObject> read(ObjectKey key) throws PlatformException {
            return called("read", Optional.empty());
        }

        @Override
        public long write(ObjectKey key, long expectedVersion, byte[] value) throws PlatformException {
            return called("write", 5L);
        }

        @Override
        public void delete(ObjectKey key, long expectedVersion) throws PlatformException {
            called("delete", 0);
        }

        @Override
        public Listing list(String prefix) throws PlatformException {
            return called("list", new Listing(1, List.of()));
        }

        @Override
        public Listing watch(String prefix, long sinceRevision, long waitMs) throws PlatformException {
            return called("watch", new Listing(1, List.of()));
        }

        private <T> T called(String call, T result) throws PlatformException {
            direct.add(call);
            if (failure.isPresent()) {
                throw failure.get();
            }
            return result;
        }
    }
}
