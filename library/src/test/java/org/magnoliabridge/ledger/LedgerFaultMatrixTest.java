package org.magnoliabridge.ledger;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.util.EnumSet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.magnoliabridge.sim.FaultMatrix;

class LedgerFaultMatrixTest {
    private static final int PAIRS = 3_000;

    /** Guards against a second execution, a false "not run" and a wrong stored answer, under one or two faults. */
    @Test
    void invariantsHoldUnderEveryFault() throws IOException {
        FaultMatrix matrix =
                matrix(EnumSet.allOf(Mechanism.class)).singleFaults().faultPairs(PAIRS);
        matrix.write("Ledger: at most one execution per team, service and key", "fault-matrix-ledger.txt");
        assertThat(matrix.failures(), empty());
    }

    /** Guards against a checker that cannot fail: if any one mechanism is disabled, it must report violations. */
    @ParameterizedTest
    @EnumSource(Mechanism.class)
    void checkerReportsAMissingMechanism(Mechanism missing) {
        EnumSet<Mechanism> rest = EnumSet.complementOf(EnumSet.of(missing));
        assertThat(matrix(rest).findsViolation(PAIRS), is(true));
    }

    private static FaultMatrix matrix(EnumSet<Mechanism> mechanisms) {
        return new FaultMatrix(faults -> new LedgerWorld(faults, mechanisms).run());
    }
}
