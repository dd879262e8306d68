package org.magnoliabridge.daemon;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import org.junit.jupiter.api.Test;
import org.magnoliabridge.external.ObjectKey;
import org.magnoliabridge.external.ObjectStore;
import org.magnoliabridge.external.PlatformException;
import org.magnoliabridge.external.RecentChanges;
import org.magnoliabridge.external.StoredObject;
import org.magnoliabridge.ids.NodeId;

/** A node that reads the endpoint list for others, and a node that reads it from the first one. */
class NeighbourReaderTest {
    private static final String PREFIX = "endpoints/";
    private static final long POLL_MS = 700;
    private static final long WAIT_MS = 1;
    private static final long LEAVING_NOTICE_MS = 2_000;

    private final NodeId first = new NodeId("first");
    private final Store store = new Store();
    private long nowMs;
    private boolean silent;
    private final NeighbourReader reader = reader(Optional.empty());
    private final NeighbourReader follower = reader(Optional.of(first));

    @Test
    void changesComeFromTheNeighbour() throws PlatformException {
        long revision = warmUp();
        int before = store.watches;
        store.put("e1");
        reader.watch(PREFIX, revision, WAIT_MS);
        ObjectStore.Listing changes = follower.watch(PREFIX, revision, WAIT_MS);
        assertThat(changes.entries().size(), is(1));
        assertThat(changes.revision(), is(store.revision));
        assertThat("only the neighbour read the store", store.watches, is(before + 1));
    }

    /** Guards against work for an endpoint that announced 2 s ago that it leaves. */
    @Test
    void aChangeIsKnownInTimeWhileTheNeighbourStops() throws PlatformException {
        for (long stopsAtMs = 0; stopsAtMs < 2 * POLL_MS; stopsAtMs += 20) {
            store.put("e" + stopsAtMs);
            assertThat(
                    "neighbour stops after " + stopsAtMs + " ms",
                    knownAfterMs(stopsAtMs),
                    is(lessThan(LEAVING_NOTICE_MS)));
        }
    }

    // Both poll every 700 ms, the follower 350 ms after the reader; the reader stops to read but goes on to answer.
    private long knownAfterMs(long stopsAtMs) throws PlatformException {
        nowMs += 20_000;
        long revision = warmUp();
        long readerRevision = revision;
        long startMs = nowMs;
        store.put("changed" + stopsAtMs);
        long changed = store.revision;
        for (long ms = 1; ms < 10_000; ms++) {
            nowMs = startMs + ms;
            if (ms <= stopsAtMs && ms % POLL_MS == 0) {
                readerRevision = reader.watch(PREFIX, readerRevision, WAIT_MS).revision();
            }
            if (ms % POLL_MS == POLL_MS / 2) {
                revision = follower.watch(PREFIX, revision, WAIT_MS).revision();
                if (revision >= changed) {
                    return ms;
                }
            }
        }
        return Long.MAX_VALUE;
    }

    @Test
    void silentNeighbourIsReplacedByTheStoreForAWhile() throws PlatformException {
        long revision = warmUp();
        silent = true;
        int before = store.watches;
        store.put("e1");
        revision = follower.watch(PREFIX, revision, WAIT_MS).revision();
        assertThat(revision, is(store.revision));
        silent = false;
        store.put("e2");
        assertThat(follower.watch(PREFIX, revision, WAIT_MS).revision(), is(store.revision));
        assertThat("the neighbour is not asked again immediately", store.watches, is(before + 2));
    }

    /** Guards against a pause of the follower that another pause follows although something changed meanwhile. */
    @Test
    void unchangedListIsAskedForAgain() throws PlatformException {
        long revision = warmUp();
        reader.watch(PREFIX, revision, WAIT_MS);
        ObjectStore.Listing unchanged = follower.watch(PREFIX, revision, WAIT_MS);
        assertThat(unchanged.entries().size(), is(0));
        assertThat(unchanged.revision(), is(revision));
    }

    /** Guards against reads of the store that grow with the nodes: 15 followers of one reader read nothing. */
    @Test
    void followersOfAReaderMakeNoStoreCalls() throws PlatformException {
        long revision = warmUp();
        int before = store.watches;
        long[] revisions = new long[15];
        Arrays.fill(revisions, revision);
        int polls = 20;
        for (int poll = 0; poll < polls; poll++) {
            nowMs += POLL_MS;
            store.put("e" + poll % 3);
            revision = reader.watch(PREFIX, revision, WAIT_MS).revision();
            for (int i = 0; i < revisions.length; i++) {
                revisions[i] = follower.watch(PREFIX, revisions[i], WAIT_MS).revision();
                assertThat(revisions[i], is(revision));
            }
        }
        assertThat(store.watches - before, is(lessThanOrEqualTo(polls)));
    }

    /** Lets the follower ask once, so that the reader records what it reads, and returns the current revision. */
    private long warmUp() throws PlatformException {
        long revision = follower.watch(PREFIX, store.revision, WAIT_MS).revision();
        nowMs += 4_000;
        return reader.watch(PREFIX, revision, WAIT_MS).revision();
    }

    private NeighbourReader reader(Optional<NodeId> neighbour) {
        return new NeighbourReader(
                store,
                (node, call, timeoutMs) -> call(call, timeoutMs),
                () -> neighbour,
                new RecentChanges(e -> e.object().map(o -> (Object) o.version()).orElse("deleted")),
                () -> nowMs,
                new MetricRegistry());
    }

    private byte[] call(byte[] call, long timeoutMs) throws ExecutionException {
        if (silent) {
            nowMs += timeoutMs;
            throw new ExecutionException(new PeerSilentException(first, "READ_CHANGES"));
        }
        List<byte[]> answers = new ArrayList<>();
        reader.answer(first, call, answers::add);
        return answers.getFirst();
    }

    /** A store whose watches return at once. */
    private static final class Store implements ObjectStore {
        private final List<StoredObject> changes = new ArrayList<>();
        private long revision = 1;
        private int watches;

        void put(String name) {
            changes.add(new StoredObject(new ObjectKey(PREFIX + name), ++revision, new byte[0]));
        }

        @Override
        public Listing watch(String prefix, long sinceRevision, long waitMs) {
            watches++;
            return new Listing(
                    revision,
                    changes.stream()
                            .filter(o -> o.version() > sinceRevision)
                            .map(Entry::of)
                            .toList());
        }

        @Override
        public Listing list(String prefix) {
            return new Listing(revision, changes.stream().map(Entry::of).toList());
        }

        @Override
        public Optional<StoredObject> read(ObjectKey key) {
            throw new UnsupportedOperationException();
        }

        @Override
        public long write(ObjectKey key, long expectedVersion, byte[] value) {
            throw new UnsupportedOperationException();
        }

        @Override
        public void delete(ObjectKey key, long expectedVersion) {
            throw new UnsupportedOperationException();
        }
    }
}
