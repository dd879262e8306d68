package org.magnoliabridge.daemon;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.magnoliabridge.external.ObjectKey;
import org.magnoliabridge.external.ObjectStore;
import org.magnoliabridge.external.PlatformException;
import org.magnoliabridge.external.RecentChanges;
import org.magnoliabridge.external.StoredObject;
import org.magnoliabridge.ids.Incarnation;
import org.magnoliabridge.ids.NodeId;
import org.magnoliabridge.ids.ProcessName;

/** A node that reads the endpoint list for others, and a node that reads it from the first one. */
class NeighbourReaderTest {
    private static final String PREFIX = "endpoints/";
    private static final long POLL_MS = 700;
    private static final long WAIT_MS = 1;
    private static final long LEAVING_NOTICE_MS = 2_000;
    private static final long CONFIGURATION_NOTICE_MS = 2_000;
    private static final NeighbourReader.Times TIMES = new NeighbourReader.Times(800, 600, 500);

    private final NodeId first = new NodeId("first");
    private final Store store = new Store();
    private long nowMs;
    private boolean silent;
    private final NeighbourReader reader = reader(Optional.empty());
    private final NeighbourReader follower = reader(Optional.of(first));
    private NeighbourReader asked = reader;
    private final List<byte[]> answers = new ArrayList<>();

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
        for (long latencyMs : List.of(0L, 50L, 200L)) {
            for (long stopsAtMs = 0; stopsAtMs < 2 * POLL_MS; stopsAtMs += 20) {
                for (long phaseMs = 0; phaseMs < POLL_MS; phaseMs += 20) {
                    assertThat(
                            "latency " + latencyMs + " ms, neighbour stops after " + stopsAtMs + " ms, phase " + phaseMs
                                    + " ms",
                            knownAfterMs(latencyMs, stopsAtMs, phaseMs),
                            is(lessThan(LEAVING_NOTICE_MS)));
                }
            }
        }
    }

    // The reader pauses 700 ms after each read, the follower after each change it has got. The reader stops reading,
    // and is silent once what it has read is too old to be passed on.
    private long knownAfterMs(long latencyMs, long stopsAtMs, long phaseMs) throws PlatformException {
        nowMs += 20_000;
        silent = false;
        store.latencyMs = 0;
        long revision = warmUp();
        store.latencyMs = latencyMs;
        long readerRevision = revision;
        long startMs = nowMs;
        store.put("changed");
        long changed = store.revision;
        long readAtMs = startMs;
        for (long pollAtMs = startMs + phaseMs; pollAtMs < startMs + 10_000; pollAtMs = nowMs + POLL_MS) {
            for (long nextMs = readAtMs + POLL_MS; nextMs <= Math.min(pollAtMs, startMs + stopsAtMs); ) {
                nowMs = nextMs;
                readerRevision = reader.watch(PREFIX, readerRevision, WAIT_MS).revision();
                readAtMs = nextMs;
                nextMs = nowMs + POLL_MS;
            }
            nowMs = Math.max(nowMs, pollAtMs);
            silent = nowMs > startMs + stopsAtMs && nowMs - readAtMs > TIMES.maxAgeMs();
            revision = follower.watch(PREFIX, revision, WAIT_MS).revision();
            if (revision >= changed) {
                return nowMs - startMs;
            }
        }
        return Long.MAX_VALUE;
    }

    /** Guards against a node that follows a configuration that was replaced 2 s ago, because its reader has stopped. */
    @Test
    void aConfigurationIsKnownInTimeWhileTheReaderStops() throws PlatformException {
        NeighbourReader.Times times = NeighbourStores.CONFIG_READS;
        asked = reader(Optional.empty(), times);
        NeighbourReader asking = reader(Optional.of(first), times);
        for (long phaseMs = 0; phaseMs < times.pauseMs(); phaseMs += 20) {
            nowMs += 20_000;
            silent = false;
            long revision = asking.watch(PREFIX, store.revision, WAIT_MS).revision();
            nowMs += 4_000;
            asked.watch(PREFIX, revision, WAIT_MS);
            // The reader has stopped just before the change, and is silent once its last read is too old.
            long startMs = nowMs;
            store.put("changed");
            nowMs += phaseMs;
            while (revision < store.revision) {
                silent = nowMs - startMs > times.maxAgeMs();
                revision = asking.watch(PREFIX, revision, WAIT_MS).revision();
                nowMs += revision < store.revision ? times.pauseMs() : 0;
            }
            assertThat("phase " + phaseMs + " ms", nowMs - startMs, is(lessThan(CONFIGURATION_NOTICE_MS)));
        }
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

    /**
     * Guards against followers that keep reading the store because their own last read is newer than the reader's.
     * Replays the load: after its start each node has read the store itself.
     */
    @Test
    void followerThatIsAheadOfTheReaderAsksItToo() throws PlatformException {
        warmUp();
        // Changes of other prefixes raise the revision all the time.
        store.revision += 5;
        long ahead = store.revision;
        int before = store.watches;
        ObjectStore.Listing unchanged = follower.watch(PREFIX, ahead, WAIT_MS);
        assertThat(unchanged.entries().size(), is(0));
        assertThat(unchanged.revision(), is(ahead));
        assertThat("the store is not read", store.watches, is(before));
        store.put("e1");
        reader.watch(PREFIX, ahead - 5, WAIT_MS);
        assertThat(follower.watch(PREFIX, ahead, WAIT_MS).entries().size(), is(1));
    }

    /** Guards against an answer that does not fit a frame, which would close the connection between the nodes. */
    @Test
    void largeChangesAreReadFromTheStore() throws PlatformException {
        long revision = warmUp();
        store.put("large", new byte[PeerCalls.MAX_BODY_BYTES]);
        reader.watch(PREFIX, revision, WAIT_MS);
        int before = store.watches;
        assertThat(follower.watch(PREFIX, revision, WAIT_MS).entries().size(), is(1));
        assertThat("the store is read", store.watches, is(before + 1));
        assertThat(answers.getLast().length, is(lessThan(PeerCalls.MAX_BODY_BYTES)));
    }

    /** Guards against a node that asks its neighbour all the time while nothing changes. */
    @Test
    void unchangedListIsReturnedAfterAPause() throws PlatformException {
        long revision = warmUp();
        reader.watch(PREFIX, revision, WAIT_MS);
        long startNanos = System.nanoTime();
        ObjectStore.Listing unchanged = follower.watch(PREFIX, revision, 100);
        assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos), is(greaterThanOrEqualTo(99L)));
        assertThat(unchanged.entries().size(), is(0));
        assertThat(unchanged.revision(), is(revision));
    }

    /** Guards against followers that read the store themselves while nothing changes, because the reader waits. */
    @Test
    void changesComeFromTheNeighbourAlsoAfterALongQuietTime() throws PlatformException {
        long revision = warmUp();
        store.waits = true;
        int before = store.watches;
        int reads = 10;
        for (int i = 0; i < reads; i++) {
            reader.watch(PREFIX, revision, 3_000);
            assertThat(follower.watch(PREFIX, revision, WAIT_MS).entries().size(), is(0));
        }
        assertThat(store.watches - before, is(reads));
        nowMs += TIMES.maxAgeMs() + 1;
        follower.watch(PREFIX, revision, WAIT_MS);
        assertThat("the store is read once the neighbour's read is old", store.watches - before, is(reads + 1));
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
        return reader(neighbour, TIMES);
    }

    private NeighbourReader reader(Optional<NodeId> neighbour, NeighbourReader.Times times) {
        return new NeighbourReader(
                store,
                (node, call, timeoutMs) -> call(call, timeoutMs),
                () -> neighbour,
                new RecentChanges(e -> e.object().map(o -> (Object) o.version()).orElse("deleted")),
                times,
                () -> nowMs,
                new MetricRegistry());
    }

    private byte[] call(byte[] call, long timeoutMs) throws ExecutionException {
        if (silent) {
            nowMs += timeoutMs;
            throw new ExecutionException(new PeerSilentException(first, "READ_CHANGES"));
        }
        asked.answer(new ProcessName(first, new Incarnation(1)), call, answers::add);
        return answers.getLast();
    }

    /** A store whose watches return at once. */
    private final class Store implements ObjectStore {
        private final List<StoredObject> changes = new ArrayList<>();
        private long revision = 1;
        private int watches;
        private long latencyMs;
        private boolean waits;

        void put(String name) {
            put(name, new byte[0]);
        }

        void put(String name, byte[] value) {
            changes.add(new StoredObject(new ObjectKey(PREFIX + name), ++revision, value));
        }

        @Override
        public Listing watch(String prefix, long sinceRevision, long waitMs) {
            watches++;
            // The state is that of the start of the call, the worst case for its age.
            long asOf = revision;
            nowMs += latencyMs + (waits ? waitMs : 0);
            return new Listing(
                    asOf,
                    changes.stream()
                            .filter(o -> o.version() > sinceRevision && o.version() <= asOf)
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
