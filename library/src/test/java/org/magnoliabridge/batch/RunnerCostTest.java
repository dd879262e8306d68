package org.magnoliabridge.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.lessThan;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Counts the bytes that an input of the batch core allocates, as a measure of work that repeats. */
class RunnerCostTest {
    private static final ThreadMXBean THREADS = (ThreadMXBean) ManagementFactory.getThreadMXBean();
    private static final int REPETITIONS = 100;
    private static final int FEW = 40;
    private static final int MANY = 1_000;
    // Two entries of a list per item would exceed it.
    private static final long BYTES_PER_ITEM = 8;
    // Enough to look up a batch's target; a search of the engines for each run would exceed it.
    private static final long BYTES_PER_RUN = 100;
    // Enough to put an item and its group in order.
    private static final long BYTES_PER_ORDERED_ITEM = 300;

    /** Guards against a runner that orders all waiting items at each input while no engine may run any of them. */
    @Test
    void inputDoesNotOrderItemsThatNoEngineMayRun() {
        long few = bytesPerTickWithOldEngine(FEW);
        long many = bytesPerTickWithOldEngine(MANY);
        assertThat("additional bytes", many - few, lessThan(BYTES_PER_ITEM * (MANY - FEW)));
    }

    /** Guards against a runner that copies the texts of all running items at each input. */
    @Test
    void inputDoesNotCopyTextsThatAreNotDue() {
        long few = bytesPerTickWithFreeSlots(FEW);
        long many = bytesPerTickWithFreeSlots(MANY);
        assertThat("additional bytes", many - few, lessThan(BYTES_PER_ITEM * (MANY - FEW)));
    }

    /** Guards against a runner that looks for an engine for each item after the last free slot was taken. */
    @Test
    void itemsAfterTheLastFreeSlotAreOnlyOrdered() {
        long few = bytesToFillOneSlot(FEW);
        long many = bytesToFillOneSlot(MANY);
        assertThat("additional bytes", many - few, lessThan(BYTES_PER_ORDERED_ITEM * (MANY - FEW)));
    }

    /** Guards against a report of progress that searches the list of engines for each run. */
    @Test
    void progressDoesNotSearchTheEnginesForEachRun() {
        long few = bytesPerProgress(FEW);
        long many = bytesPerProgress(MANY);
        assertThat("additional bytes", many - few, lessThan(BYTES_PER_RUN * (MANY - FEW)));
    }

    /** Guards against a runner that looks for an endpoint for each text that waits for its score at each input. */
    @Test
    void inputDoesNotOrderTextsThatNoEndpointCanScore() {
        long few = bytesPerTickWithFullScorer(FEW);
        long many = bytesPerTickWithFullScorer(MANY);
        assertThat("additional bytes", many - few, lessThan(BYTES_PER_ITEM * (MANY - FEW)));
    }

    private static long bytesPerTickWithFullScorer(int items) {
        RunnerFixture fixture = new RunnerFixture();
        fixture.engines(Batches.engine("e1", items, 1), Batches.scorer("s1", 1));
        fixture.open(Batches.head("b", items), Batches.scoredItems("a", items), true);
        fixture.runs().forEach(r -> fixture.end(r, new RunOutcome.Completed(), Batches.event(1, "x", 1)));
        assertThat(fixture.scoreCalls(), hasSize(1));
        return bytesPerInput(fixture, new BatchInput.Tick());
    }

    private static long bytesPerTickWithOldEngine(int items) {
        RunnerFixture fixture = new RunnerFixture();
        fixture.engines(Batches.engine("old", 8, 1));
        fixture.open(Batches.head("b", items, 2, false), Batches.items("a", items), true);
        assertThat(fixture.runs(), hasSize(0));
        return bytesPerInput(fixture, new BatchInput.Tick());
    }

    private static long bytesPerTickWithFreeSlots(int items) {
        RunnerFixture fixture = new RunnerFixture();
        fixture.engines(Batches.engine("e1", items + 1, 1));
        fixture.open(Batches.head("b", items), Batches.items("a", items), true);
        assertThat(fixture.runs(), hasSize(items));
        return bytesPerInput(fixture, new BatchInput.Tick());
    }

    private static long bytesPerProgress(int runs) {
        RunnerFixture fixture = new RunnerFixture();
        fixture.engines(Batches.engine("e1", runs, 1));
        fixture.open(Batches.head("b", runs), Batches.items("a", runs), true);
        assertThat(fixture.runs(), hasSize(runs));
        return bytesPerInput(fixture, new BatchInput.Progress(Map.of()));
    }

    private static long bytesToFillOneSlot(int items) {
        RunnerFixture fixture = new RunnerFixture();
        fixture.engines(Batches.engine("e1", 1, 1));
        int all = items + REPETITIONS;
        fixture.open(Batches.head("b", all), Batches.items("a", all), true);
        for (int i = 0; i < REPETITIONS; i++) {
            fixture.end(fixture.runs().getLast(), new RunOutcome.Impossible());
        }
        ItemRun last = fixture.runs().getLast();
        long before = allocated();
        fixture.end(last, new RunOutcome.Impossible());
        return allocated() - before;
    }

    // Inputs at the same time, so that no timer acts.
    private static long bytesPerInput(RunnerFixture fixture, BatchInput input) {
        for (int i = 0; i < REPETITIONS; i++) {
            fixture.handle(input);
        }
        long before = allocated();
        for (int i = 0; i < REPETITIONS; i++) {
            fixture.handle(input);
        }
        return (allocated() - before) / REPETITIONS;
    }

    private static long allocated() {
        return THREADS.getCurrentThreadAllocatedBytes();
    }
}
