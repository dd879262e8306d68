package org.magnoliabridge.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.util.EnumSet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.magnoliabridge.sim.FaultMatrix;

class BatchFaultMatrixTest {
    private static final int PAIRS = 2_000;

    /** Guards against lost, duplicated or changed results, wrong texts, and rejection of batches that were run. */
    @Test
    void invariantsHoldUnderEveryFault() throws IOException {
        FaultMatrix matrix =
                matrix(EnumSet.allOf(BatchMechanism.class)).singleFaults().faultPairs(PAIRS);
        matrix.write("Batches: accepted once, stable positions, complete texts", "fault-matrix-batches.txt");
        assertThat(matrix.failures(), empty());
    }

    /** Guards against an ineffective checker: it must report violations if any one mechanism is disabled. */
    @ParameterizedTest
    @EnumSource(BatchMechanism.class)
    void checkerReportsAMissingMechanism(BatchMechanism missing) {
        EnumSet<BatchMechanism> rest = EnumSet.complementOf(EnumSet.of(missing));
        assertThat(matrix(rest).findsViolation(PAIRS), is(true));
    }

    private static FaultMatrix matrix(EnumSet<BatchMechanism> mechanisms) {
        return new FaultMatrix(faults -> new BatchSimulation(faults, mechanisms).run());
    }
}
