package org.magnoliabridge.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.util.EnumSet;
import java.util.Set;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.magnoliabridge.batch.EndSimulation.Mechanism;

class EndSimulationTest {
    // Set -Dend.seeds to try more by hand.
    private static final long SEEDS = Long.getLong("end.seeds", 40);
    private static final long MAX_SEEDS_TO_REPORT = 1_000;
    private static final long MIN_SENT = 500;
    private static final Logger CHECK_LOG = Logger.getLogger(StoreCheck.class.getName());

    // Each check that fails writes a stack trace.
    @BeforeAll
    static void silenceChecks() {
        CHECK_LOG.setLevel(Level.OFF);
    }

    @AfterAll
    static void restoreLog() {
        CHECK_LOG.setLevel(null);
    }

    /** Guards against items that are sent long after the end of their batch, whatever is lost, late or replaced. */
    @Test
    void noItemIsSentLongAfterTheEndOfItsBatch() {
        long sent = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            EndChecker checker = run(seed, EnumSet.allOf(Mechanism.class));
            assertThat("seed " + seed, checker.violations(), empty());
            sent += checker.sent();
        }
        assertThat("items sent in an average run", sent / SEEDS, greaterThan(MIN_SENT));
    }

    /** Guards against an ineffective checker: it must report violations if any one mechanism is disabled. */
    @ParameterizedTest
    @EnumSource(Mechanism.class)
    void checkerReportsAMissingMechanism(Mechanism missing) {
        boolean reported = false;
        for (long seed = 1; seed <= MAX_SEEDS_TO_REPORT && !reported; seed++) {
            reported = !run(seed, EnumSet.complementOf(EnumSet.of(missing)))
                    .violations()
                    .isEmpty();
        }
        assertThat(reported, is(true));
    }

    private static EndChecker run(long seed, Set<Mechanism> mechanisms) {
        EndChecker checker = new EndChecker();
        new EndSimulation(seed, mechanisms, checker).run();
        return checker;
    }
}
