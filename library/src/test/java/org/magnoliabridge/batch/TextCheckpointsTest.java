package org.magnoliabridge.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.not;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

class TextCheckpointsTest {
    private static final Set<TextMechanism> ALL = EnumSet.allOf(TextMechanism.class);
    private static final String LONG = "long";
    private static final long EVENTS = 150;
    // A trainer counts a group as in time if it is complete by then.
    private static final long DUE_MS = 8_200;
    private static final long SEED = 31;
    // A tick, and a request to the store.
    private static final long MAX_DELAY_MS = 200;

    /** Guards against a long text that restarts at the next runner and therefore misses the due time of its step. */
    @Test
    void nextRunnerResumesAfterTheLastStoredEvent() {
        RunnerGroup pair = pair(ALL);
        pair.open(0, head(), items(), true);
        pair.runUntil(4_000);
        pair.kill(0);
        pair.runUntil(4_700);
        pair.reportTerminated(0);
        pair.open(1, head(), items(), false);
        pair.runUntil(10_000);
        assertThat(pair.resumePoints(1, LONG).getFirst(), greaterThan(75L));
        assertThat(pair.committedAtMs(LONG).orElseThrow(), lessThan(DUE_MS));
        assertThat(pair.violations(), is(empty()));
    }

    /** Guards against two engines that generate one text while both runners are alive and reach engines and store. */
    @Test
    void textsResumeOnlyAfterTheEarlierRunnerHasStopped() {
        assertThat(violationsOfTwoLiveRunners(ALL), is(empty()));
        Set<TextMechanism> unfenced = EnumSet.complementOf(EnumSet.of(TextMechanism.TEXT_FENCE));
        assertThat("without the fence", violationsOfTwoLiveRunners(unfenced), is(not(empty())));
    }

    /** Guards against a claim that blocks a text forever because the end of its owner was never reported. */
    @Test
    void textsResumeAfterTheFenceIfTheEarlierRunnerIsOnlyUnreachable() {
        RunnerGroup pair = pair(ALL);
        pair.open(0, head(), items(), true);
        pair.runUntil(4_000);
        pair.kill(0);
        pair.runUntil(4_700);
        pair.open(1, head(), items(), false);
        pair.runUntil(4_700 + TextCheckpoints.FENCE_MS - RunnerGroup.STEP_MS);
        assertThat(pair.resumePoints(1, LONG), is(empty()));
        pair.runUntil(10_000);
        assertThat(pair.resumePoints(1, LONG).getFirst(), greaterThan(75L));
        assertThat(pair.committedAtMs(LONG).orElseThrow(), lessThan(10_000L));
    }

    /** Guards against a runner that lost a claim and never resumes although the other runner has since failed. */
    @Test
    void runnerThatLostAClaimResumesWhenTheOtherOneHasFailed() {
        RunnerGroup pair = pair(ALL);
        pair.open(0, head(), items(), true);
        pair.runUntil(3_000);
        pair.open(1, head(), items(), false);
        pair.runUntil(5_000);
        pair.kill(1);
        pair.runUntil(20_000);
        assertThat(pair.committedAtMs(LONG).isPresent(), is(true));
        assertThat(pair.violations(), is(empty()));
    }

    /**
     * Guards against items that wait at no engine for seconds because a runner takes the claim of an earlier runner,
     * which it finds in the log, for one against itself. The role changes twice in a row, as in planned restarts.
     */
    @Test
    void itemsResumeAfterTheFenceAtEveryRunnerOfASeries() {
        RunnerGroup runners = new RunnerGroup(3, Map.of(LONG, 400L, "late", 400L), engines(2, 4), ALL);
        int tokens = Batches.TARGET.tokensPerEvent();
        List<BatchItem> items =
                List.of(Batches.item(LONG, "g0", 400L * tokens), Batches.item("late", "g0", 400L * tokens));
        runners.open(0, Batches.head("b1", 2), items, true);
        for (int next = 1; next < 3; next++) {
            runners.runUntil(next * 4_000L);
            runners.stepDown(next - 1);
            runners.open(next, Batches.head("b1", 2), items, false);
        }
        runners.runUntil(25_000);
        assertThat(runners.longestIdleMs(LONG), lessThan(TextCheckpoints.FENCE_MS + MAX_DELAY_MS));
        assertThat(runners.resumePoints(2, LONG).size(), is(1));
        assertThat(runners.committedAtMs(LONG).isPresent(), is(true));
        assertThat(runners.violations(), is(empty()));
    }

    /** Guards against the same wait of a runner that finds a claim, but no text that is worth resuming. */
    @Test
    void itemsStartAtOnceAfterAnEarlierRunnersClaimWithoutTexts() {
        RunnerFixture fixture = new RunnerFixture();
        fixture.engines(Batches.engine("e0", 4, 1));
        fixture.open(head(), items(), false);
        fixture.replyToReads(new ResultSegment(new ResultSegment.Writer("n2-1", 0), List.of(), List.of(), true));
        assertThat(fixture.started(), containsInAnyOrder(LONG, "short"));
    }

    /**
     * Replays a step with a few long items through the failure of its runner: with stored texts, more groups must be
     * complete in time.
     */
    @Test
    void moreGroupsAreInTimeAfterAFailureThanWithoutStoredTexts() {
        long with = groupsInTime(ALL);
        long without = groupsInTime(EnumSet.complementOf(EnumSet.of(TextMechanism.STORED_TEXTS)));
        System.out.printf(
                "groups in time after a runner failure at 4 s, of 20: %d, without stored texts %d%n", with, without);
        assertThat(with, greaterThan(without));
        assertThat(with, greaterThanOrEqualTo(18L));
    }

    private static long groupsInTime(Set<TextMechanism> mechanisms) {
        Random random = new Random(SEED);
        Map<String, Long> lengths = new HashMap<>();
        List<BatchItem> items = new ArrayList<>();
        int perGroup = 8;
        int groups = 20;
        for (int i = 0; i < groups * perGroup; i++) {
            boolean isLong = random.nextDouble() < 0.08;
            long events = isLong ? 80 + random.nextInt(60) : 5 + random.nextInt(30);
            lengths.put("i" + i, events);
            items.add(Batches.item("i" + i, "g" + i / perGroup, events * Batches.TARGET.tokensPerEvent()));
        }
        RunnerGroup pair = new RunnerGroup(2, lengths, engines(8, 12), mechanisms);
        BatchHead head = Batches.head("b1", items.size());
        pair.open(0, head, items, true);
        pair.runUntil(4_000);
        pair.kill(0);
        pair.runUntil(5_000);
        pair.reportTerminated(0);
        pair.open(1, head, items, false);
        pair.runUntil(20_000);
        assertThat(pair.violations(), is(empty()));
        long late = items.stream()
                .filter(i -> pair.committedAtMs(i.id().value()).orElse(Long.MAX_VALUE) > DUE_MS)
                .map(BatchItem::group)
                .distinct()
                .count();
        return groups - late;
    }

    private static List<String> violationsOfTwoLiveRunners(Set<TextMechanism> mechanisms) {
        RunnerGroup pair = pair(mechanisms);
        pair.open(0, head(), items(), true);
        pair.runUntil(2_600);
        pair.open(1, head(), items(), false);
        pair.runUntil(20_000);
        assertThat(pair.committedAtMs(LONG).isPresent(), is(true));
        return pair.violations();
    }

    private static RunnerGroup pair(Set<TextMechanism> mechanisms) {
        return new RunnerGroup(2, Map.of(LONG, EVENTS, "short", 20L), engines(2, 4), mechanisms);
    }

    private static BatchHead head() {
        return Batches.head("b1", 2);
    }

    private static List<BatchItem> items() {
        int tokens = Batches.TARGET.tokensPerEvent();
        return List.of(Batches.item(LONG, "g0", EVENTS * tokens), Batches.item("short", "g0", 20L * tokens));
    }

    private static List<EngineState> engines(int count, int slots) {
        List<EngineState> engines = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            engines.add(Batches.engine("e" + i, slots, 1));
        }
        return engines;
    }
}
