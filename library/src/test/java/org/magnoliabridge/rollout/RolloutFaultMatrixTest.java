package org.magnoliabridge.rollout;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.util.EnumSet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.magnoliabridge.sim.FaultMatrix;

class RolloutFaultMatrixTest {
    private static final int PAIRS = 3_000;

    /** Guards against lost, duplicate and stale samples, and wrong weight versions, under one or two faults. */
    @Test
    void invariantsHoldUnderEveryFault() throws IOException {
        FaultMatrix matrix =
                matrix(EnumSet.allOf(Mechanism.class)).singleFaults().faultPairs(PAIRS);
        matrix.write("Rollouts: every sample delivered once, in time and truly attributed", "fault-matrix-rollout.txt");
        assertThat(matrix.failures(), empty());
    }

    /** Guards against a checker that can't fail: it must report a violation when a single mechanism is switched off. */
    @ParameterizedTest
    @EnumSource(Mechanism.class)
    void checkerReportsAMissingMechanism(Mechanism missing) {
        EnumSet<Mechanism> rest = EnumSet.complementOf(EnumSet.of(missing));
        assertThat(matrix(rest).findsViolation(PAIRS), is(true));
    }

    private static FaultMatrix matrix(EnumSet<Mechanism> mechanisms) {
        return new FaultMatrix(faults -> new RolloutWorld(faults, mechanisms).run());
    }
}
