package org.magnoliabridge.external;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class RecentChangesTest {
    private static final long MAX_AGE_MS = 1_000;

    // Values are written as "content/heartbeat"; only the content counts.
    private final RecentChanges recent = new RecentChanges(RecentChangesTest::content);

    @Test
    void nothingIsKnownBeforeTheFirstRead() {
        assertThat(recent.since(0, 0, MAX_AGE_MS), is(Optional.empty()));
    }

    @Test
    void heartbeatsAreLeftOut() {
        recent.listed(0, listing(10, entry("a", "ready/1"), entry("b", "ready/1")));
        recent.changed(1, 10, listing(12, entry("a", "ready/2"), entry("b", "leaving/2")));
        assertThat(keys(recent.since(2, 10, MAX_AGE_MS)), contains("k/b"));
        assertThat(recent.since(2, 10, MAX_AGE_MS).orElseThrow().revision(), is(12L));
        assertThat(keys(recent.since(2, 12, MAX_AGE_MS)), is(empty()));
    }

    /** Guards against a node that never sees a change that was undone before its next read. */
    @Test
    void changeThatIsUndoneIsReportedToThoseWhoSawIt() {
        recent.listed(0, listing(10, entry("a", "ready/1")));
        recent.changed(1, 10, listing(12, entry("a", "leaving/2")));
        recent.changed(2, 12, listing(14, entry("a", "ready/3")));
        assertThat(keys(recent.since(3, 12, MAX_AGE_MS)), contains("k/a"));
    }

    /** Guards against a node that uses an endpoint list that is as old as its neighbour's outage. */
    @Test
    void oldReadIsNotPassedOn() {
        recent.listed(0, listing(10));
        assertThat(recent.since(MAX_AGE_MS, 10, MAX_AGE_MS).isPresent(), is(true));
        assertThat(recent.since(MAX_AGE_MS + 1, 10, MAX_AGE_MS), is(Optional.empty()));
    }

    @Test
    void revisionsOutsideTheRecordAreNotAnswered() {
        recent.changed(0, 10, listing(12, entry("a", "ready/1")));
        assertThat("before the record", recent.since(0, 9, MAX_AGE_MS), is(Optional.empty()));
        assertThat(keys(recent.since(0, 10, MAX_AGE_MS)), contains("k/a"));
    }

    /** Guards against a reader that is ahead of the record and gets old changes, or loses those that follow. */
    @Test
    void readerThatIsAheadGetsTheChangesThatFollowOnly() {
        recent.changed(0, 10, listing(12, entry("a", "ready/1")));
        ObjectStore.Listing ahead = recent.since(0, 14, MAX_AGE_MS).orElseThrow();
        assertThat(ahead.revision(), is(14L));
        assertThat(ahead.entries(), is(List.of()));
        assertThat(
                "only while the record is recent", recent.since(MAX_AGE_MS + 1, 14, MAX_AGE_MS), is(Optional.empty()));
        recent.changed(1, 12, listing(16, entry("b", "ready/1")));
        assertThat(keys(recent.since(1, 14, MAX_AGE_MS)), contains("k/b"));
    }

    /** Guards against changes that are lost because this node read them from another node in between. */
    @Test
    void gapInTheReadsRestartsTheRecord() {
        recent.listed(0, listing(10, entry("a", "ready/1")));
        recent.changed(1, 14, listing(16, entry("a", "ready/3")));
        assertThat(recent.since(1, 10, MAX_AGE_MS), is(Optional.empty()));
        assertThat(keys(recent.since(1, 14, MAX_AGE_MS)), contains("k/a"));
    }

    @Test
    void storeThatLostHistoryRestartsTheRecord() {
        recent.listed(0, listing(10, entry("a", "ready/1")));
        recent.changed(1, 10, listing(5));
        assertThat(recent.since(1, 10, MAX_AGE_MS), is(Optional.empty()));
        assertThat(recent.since(1, 4, MAX_AGE_MS), is(Optional.empty()));
    }

    @Test
    void recordIsBounded() {
        recent.listed(0, listing(1));
        long revision = 1;
        for (int i = 0; i < 3 * RecentChanges.MAX_KEYS; i++) {
            recent.changed(0, revision, listing(revision + 1, entry("key" + i, "ready/1")));
            revision++;
        }
        int kept = 0;
        for (long since = revision; recent.since(0, since, MAX_AGE_MS).isPresent(); since--) {
            kept++;
        }
        assertThat(kept <= RecentChanges.MAX_KEYS + 2, is(true));
    }

    /** Guards against a node that reads from another node and ends with another list than the store's. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void readerOfTheRecordEndsWithTheStoresContent(long seed) {
        Random random = new Random(seed);
        History store = new History();
        Map<String, String> copy = new TreeMap<>();
        long copied = 0;
        long read = 0;
        int answers = 0;
        for (int step = 0; step < 3_000; step++) {
            store.change(random);
            if (random.nextInt(3) == 0) {
                // Now and then the reading node has got its own changes elsewhere, and goes on from a later revision.
                read = random.nextInt(20) == 0 ? store.revision : read;
                recent.changed(step, read, store.since(read));
                read = store.revision;
            }
            if (random.nextInt(4) == 0) {
                Optional<ObjectStore.Listing> answer = recent.since(step, copied, MAX_AGE_MS);
                answers += answer.isPresent() ? 1 : 0;
                ObjectStore.Listing changes = answer.isPresent() ? answer.get() : store.since(copied);
                apply(copy, changes);
                copied = changes.revision();
                assertThat("seed " + seed + " step " + step, copy, is(store.contentAt(copied)));
            }
        }
        assertThat(answers, is(greaterThan(100)));
    }

    /** A store that remembers all its states. */
    private static final class History {
        private final List<ObjectStore.Entry> events = new ArrayList<>();
        private final Map<Long, Map<String, String>> states = new HashMap<>(Map.of(0L, new TreeMap<>()));
        private long revision;

        void change(Random random) {
            String name = "n" + random.nextInt(6);
            boolean delete = random.nextInt(5) == 0;
            revision++;
            ObjectStore.Entry event = delete
                    ? new ObjectStore.Entry(new ObjectKey("k/" + name), 0)
                    : entry(name, List.of("ready", "leaving").get(random.nextInt(2)) + "/" + revision);
            events.add(event);
            Map<String, String> state = new TreeMap<>(states.get(revision - 1));
            apply(state, listing(revision, event));
            states.put(revision, state);
        }

        ObjectStore.Listing since(long since) {
            return new ObjectStore.Listing(revision, events.subList((int) since, events.size()));
        }

        Map<String, String> contentAt(long at) {
            return states.get(at);
        }
    }

    private static void apply(Map<String, String> copy, ObjectStore.Listing changes) {
        for (ObjectStore.Entry entry : changes.entries()) {
            content(entry)
                    .ifPresentOrElse(
                            c -> copy.put(entry.key().value(), c),
                            () -> copy.remove(entry.key().value()));
        }
    }

    private static Optional<String> content(ObjectStore.Entry entry) {
        return entry.object().map(o -> new String(o.value(), StandardCharsets.UTF_8).split("/", 2)[0]);
    }

    private static ObjectStore.Listing listing(long revision, ObjectStore.Entry... entries) {
        return new ObjectStore.Listing(revision, List.of(entries));
    }

    private static ObjectStore.Entry entry(String name, String value) {
        return ObjectStore.Entry.of(
                new StoredObject(new ObjectKey("k/" + name), 1, value.getBytes(StandardCharsets.UTF_8)));
    }

    private static List<String> keys(Optional<ObjectStore.Listing> listing) {
        return listing.orElseThrow().entries().stream()
                .map(e -> e.key().value())
                .toList();
    }
}
