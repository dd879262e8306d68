package org.magnoliabridge.evacuation;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.sameInstance;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.magnoliabridge.evacuation.EvacuationInput.Entry;
import org.magnoliabridge.ids.DataCentre;

class EvacuationCoreTest {
    private static final DataCentre TRENT = new DataCentre("trent");
    private static final DataCentre SOAR = new DataCentre("soar");
    private static final DataCentre AVON = new DataCentre("avon");
    private static final List<DataCentre> ALL = List.of(TRENT, SOAR, AVON);

    private final EvacuationCore core = new EvacuationCore();

    /** Guards against work sent to an evacuated data centre by a node that has just started. */
    @Test
    void nothingIsAllowedBeforeTheFirstRead() {
        assertThat(core.current().allows(TRENT), is(false));
        core.on(5, new EvacuationInput.StoreUnreachable());
        core.on(10, new EvacuationInput.Tick());
        assertThat(core.current().known(), is(false));
        assertThat(core.on(20, new EvacuationInput.Listed(1, List.of())), is(empty()));
        assertThat(core.current(), is(Evacuations.NONE));
        assertThat(core.current().allows(TRENT), is(true));
    }

    /** Guards against an entry that was there at the start and is missed. */
    @Test
    void entryOfTheFirstListingIsInForce() {
        List<EvacuationChange> changes = core.on(7, new EvacuationInput.Listed(4, List.of(put(TRENT, 3))));
        assertThat(changes, contains(new EvacuationChange.Began(TRENT, 3, 0)));
        assertThat(core.current().allows(TRENT), is(false));
        assertThat(core.current().allows(SOAR), is(true));
        assertThat(core.sinceMs(TRENT), is(OptionalLong.of(7)));
        assertThat(core.revision(), is(4L));
    }

    /** Guards against the end of one evacuation that ends another. */
    @Test
    void twoEvacuationsAreIndependent() {
        core.on(0, new EvacuationInput.Listed(1, List.of()));
        core.on(100, new EvacuationInput.Changed(2, List.of(put(TRENT, 2))));
        core.on(200, new EvacuationInput.Changed(3, List.of(put(SOAR, 3))));
        assertThat(core.current().dataCentres(), containsInAnyOrder(TRENT, SOAR));
        List<EvacuationChange> changes = core.on(900, new EvacuationInput.Changed(4, List.of(removed(TRENT))));
        assertThat(changes, contains(new EvacuationChange.Ended(TRENT, 2, 800)));
        assertThat(core.current().dataCentres(), contains(SOAR));
        assertThat(core.endedMs(TRENT), is(OptionalLong.of(900)));
        assertThat(core.endedMs(SOAR), is(OptionalLong.empty()));
    }

    /** Guards against a data centre that returns while the store is down, and one that stays evacuated after it. */
    @Test
    void outageKeepsTheStateAndAListingReplacesIt() {
        core.on(0, new EvacuationInput.Listed(1, List.of(put(TRENT, 1), put(SOAR, 1))));
        Evacuations before = core.current();
        for (long nowMs = 1_000; nowMs < 60_000; nowMs += 1_000) {
            core.on(nowMs, new EvacuationInput.StoreUnreachable());
            assertThat(core.current(), is(sameInstance(before)));
        }
        assertThat(core.isStoreFailed(), is(true));
        assertThat(core.ageMs(60_000), is(60_000L));
        List<EvacuationChange> changes =
                core.on(60_000, new EvacuationInput.Listed(9, List.of(put(SOAR, 1), put(AVON, 8))));
        assertThat(
                changes,
                contains(new EvacuationChange.Ended(TRENT, 1, 60_000), new EvacuationChange.Began(AVON, 8, 60_000)));
        assertThat(core.current().dataCentres(), containsInAnyOrder(SOAR, AVON));
        assertThat(core.sinceMs(SOAR), is(OptionalLong.of(0)));
        assertThat(core.isStoreFailed(), is(false));
    }

    /** Guards against an entry that is removed and put again within one poll, whose last state is not what counts. */
    @Test
    void lastStateOfAFlappingEntryCounts() {
        core.on(0, new EvacuationInput.Listed(1, List.of(put(TRENT, 1))));
        List<Entry> flaps = List.of(removed(TRENT), put(TRENT, 3), removed(TRENT), put(TRENT, 5));
        core.on(100, new EvacuationInput.Changed(5, flaps));
        assertThat(core.current().allows(TRENT), is(false));
        assertThat("its endpoints may have become cold", core.endedMs(TRENT), is(OptionalLong.of(100)));
        assertThat(core.on(200, new EvacuationInput.Changed(6, List.of(put(TRENT, 6)))), is(empty()));
        assertThat(core.sinceMs(TRENT), is(OptionalLong.of(100)));
        core.on(300, new EvacuationInput.Changed(7, List.of(put(TRENT, 7), removed(TRENT))));
        assertThat(core.current().allows(TRENT), is(true));
    }

    /** Guards against a memory that grows with each name that was ever evacuated. */
    @Test
    void endsAreForgottenAfterAWhile() {
        core.on(0, new EvacuationInput.Listed(1, List.of(put(TRENT, 1))));
        core.on(1_000, new EvacuationInput.Changed(2, List.of(removed(TRENT))));
        core.on(1_000 + EvacuationCore.ENDED_RETENTION_MS - 1, new EvacuationInput.Tick());
        assertThat(core.endedMs(TRENT), is(OptionalLong.of(1_000)));
        core.on(1_000 + EvacuationCore.ENDED_RETENTION_MS, new EvacuationInput.Tick());
        assertThat(core.endedMs(TRENT), is(OptionalLong.empty()));
    }

    /** Replays random orders of changes, listings and failures beside a store whose content is known. */
    @Property(tries = 300)
    void stateIsThatOfTheLastRead(@ForAll long seed) {
        Random random = new Random(seed);
        EvacuationCore replayed = new EvacuationCore();
        Map<DataCentre, Long> stored = new HashMap<>();
        List<Entry> unread = new ArrayList<>();
        Set<DataCentre> read = new HashSet<>();
        Set<DataCentre> reported = new HashSet<>();
        boolean loaded = false;
        long revision = 1;
        long nowMs = 0;
        for (int i = 0; i < 100; i++) {
            nowMs += random.nextInt(1_000);
            EvacuationInput input = new EvacuationInput.Tick();
            switch (random.nextInt(6)) {
                case 0, 1 -> {
                    DataCentre dc = ALL.get(random.nextInt(ALL.size()));
                    revision++;
                    boolean removes = stored.remove(dc) != null && random.nextBoolean();
                    if (!removes) {
                        stored.put(dc, revision);
                    }
                    unread.add(removes ? removed(dc) : put(dc, revision));
                }
                case 2 -> input = new EvacuationInput.StoreUnreachable();
                case 3, 4 -> {
                    if (loaded) {
                        input = new EvacuationInput.Changed(revision, unread);
                    }
                }
                default -> {
                    List<Entry> all = new ArrayList<>();
                    stored.forEach((dc, version) -> all.add(put(dc, version)));
                    input = new EvacuationInput.Listed(revision, all);
                    loaded = true;
                }
            }
            if (input instanceof EvacuationInput.Changed || input instanceof EvacuationInput.Listed) {
                unread.clear();
                read = new HashSet<>(stored.keySet());
            }
            for (EvacuationChange change : replayed.on(nowMs, input)) {
                boolean alternates = change instanceof EvacuationChange.Began
                        ? reported.add(change.dc())
                        : reported.remove(change.dc());
                assertThat("begins and ends alternate", alternates, is(true));
            }
            assertThat(replayed.current().known(), is(loaded));
            assertThat(replayed.current().dataCentres(), is(read));
            assertThat(reported, is(read));
            for (DataCentre dc : ALL) {
                assertThat(replayed.sinceMs(dc).isPresent(), is(read.contains(dc)));
            }
        }
    }

    private static Entry put(DataCentre dc, long version) {
        return new Entry(dc, true, version);
    }

    private static Entry removed(DataCentre dc) {
        return new Entry(dc, false, 0);
    }
}
