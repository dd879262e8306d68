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
    private static final int SERIES_SEEDS = Integer.getInteger("series.seeds", 20);
    // From the death of a runner to the election of the next one.
    private static final long DETECTION_MS = 2_000;
    // A step is lost if its items wait at no engine for 5 s.
    private static final long MAX_IDLE_MS = 4_000;
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

    /** Guards against two engines that generate one text because a process is the runner again and knows the text. */
    @Test
    void returningRunnerWaitsForTheFenceBeforeItResumesItsOwnText() {
        RunnerGroup runners = new RunnerGroup(2, Map.of(LONG, 400L, "short", 20L), engines(2, 4), ALL);
        runners.open(0, head(), items(), true);
        runners.runUntil(4_000);
        runners.stepDown(0);
        runners.open(1, head(), items(), false);
        runners.runUntil(6_000);
        runners.open(0, head(), items(), false);
        runners.runUntil(6_600);
        runners.stepDown(1);
        runners.runUntil(25_000);
        assertThat(runners.violations(), is(empty()));
        assertThat(runners.committedAtMs(LONG).isPresent(), is(true));
    }

    /** Guards against two active runners that stop each other's runs in turn, so that neither finishes a text. */
    @Test
    void twoActiveRunnersKeepATextRunning() {
        RunnerGroup runners = new RunnerGroup(2, Map.of(LONG, 400L, "short", 20L), engines(2, 4), ALL);
        runners.open(0, head(), items(), true);
        runners.runUntil(2_600);
        runners.open(1, head(), items(), false);
        runners.runUntil(35_000);
        assertThat(runners.longestIdleMs(LONG), lessThan(MAX_IDLE_MS));
        assertThat(runners.committedAtMs(LONG).isPresent(), is(true));
        assertThat(runners.violations(), is(empty()));
    }

    /**
     * Guards against items that wait at no engine for seconds in any series of runners: some are dismissed, at once or
     * late, some return, and some are killed and replaced after the time that this takes to detect.
     */
    @Test
    void itemsDoNotWaitLongInAnySeriesOfRunners() {
        for (long seed = 1; seed <= SERIES_SEEDS; seed++) {
            RunnerGroup runners = series(seed);
            assertThat("seed " + seed, runners.longestIdleMs(LONG), lessThan(MAX_IDLE_MS));
            assertThat("seed " + seed, runners.committedAtMs(LONG).isPresent(), is(true));
            assertThat("seed " + seed, runners.violations(), is(empty()));
        }
    }

    private static RunnerGroup series(long seed) {
        Random random = new Random(seed);
        RunnerGroup runners = new RunnerGroup(6, Map.of(LONG, 400L, "short", 20L), engines(2, 4), ALL);
        List<Integer> alive = new ArrayList<>(List.of(0, 1, 2, 3, 4, 5));
        int current = 0;
        runners.open(current, head(), items(), true);
        while (runners.nowMs() < 18_000) {
            runners.runUntil(runners.nowMs() + 20 * random.nextLong(100, 250));
            boolean killed = alive.size() > 2 && random.nextInt(4) == 0;
            boolean late = random.nextInt(3) == 0;
            int next = alive.get(random.nextInt(alive.size()));
            if (next == current) {
                continue;
            }
            if (killed) {
                runners.kill(current);
                alive.remove(Integer.valueOf(current));
                runners.runUntil(runners.nowMs() + DETECTION_MS);
            } else if (!late) {
                runners.stepDown(current);
            }
            runners.open(next, head(), items(), false);
            if (late && !killed) {
                runners.runUntil(runners.nowMs() + 600);
                runners.stepDown(current);
            }
            current = next;
        }
        runners.runUntil(50_000);
        return runners;
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
