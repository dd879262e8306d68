package org.magnoliabridge.daemon;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThan;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.magnoliabridge.external.ObjectWatch;

/** Guards against times of the watch that let an evacuation come into force too late. */
class EvacuationTimesTest {
    // Longest question to a neighbour, and longest call of the store through another node.
    private static final long ANSWER_MS = 200;
    private static final long STORE_CALL_MS = 1_600;

    @ParameterizedTest
    @ValueSource(longs = {4_000, 5_000, 10_000, 60_000})
    void evacuationIsKnownInTimeWhileTheReaderStops(long evacuateMs) {
        NeighbourReader.Times reads = EvacuationDriver.readTimes(evacuateMs);
        long worstMs = reads.maxAgeMs() + reads.pauseMs() + ANSWER_MS + STORE_CALL_MS;
        assertThat(worstMs, lessThan(evacuateMs));
        assertThat(reads.maxAgeMs(), greaterThan(reads.maxWaitMs()));
        assertThat(reads.maxAgeMs(), greaterThan(reads.pauseMs()));
    }

    @ParameterizedTest
    @ValueSource(longs = {4_000, 5_000, 10_000, 60_000})
    void evacuationIsKnownInTimeWhileAConnectionIsSilent(long evacuateMs) {
        ObjectWatch.Times watch = EvacuationDriver.watchTimes(evacuateMs);
        assertThat(watch.waitMs() + STORE_CALL_MS + watch.maxBackoffMs(), lessThan(evacuateMs));
    }
}
