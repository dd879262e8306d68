package org.magnoliabridge.lease;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import org.junit.jupiter.api.Test;
import org.magnoliabridge.lease.LeaseSimulation.Arrival;
import org.magnoliabridge.lease.LeaseSimulation.Fault;

/** Plays seeds of {@link LeaseSimulation}; run more with {@code -Dlease.seeds=1000}. */
class HoldersInTurnTest {
    private static final int SEEDS = Integer.getInteger("lease.seeds", 300);

    /** Guards against a holder that goes on after a suspension, because its monotonic clock stood still. */
    @Test
    void suspendedHolderDoesNotGoOnBesideTheNextOne() {
        assertNone(EnumSet.of(Fault.SUSPEND), LeaseSimulation::staleCall);
        assertNone(EnumSet.of(Fault.SUSPEND), LeaseSimulation::turn);
    }

    /** Guards against calls that were decided before the lease was released and are sent after the next holder's. */
    @Test
    void callsUnderWayEndBeforeTheLeaseIsReleased() {
        assertNone(EnumSet.of(Fault.STOP), LeaseSimulation::staleCall);
    }

    /** Guards against a lease that returns to a node while calls of another holder lie in between. */
    @Test
    void leaseDoesNotReturnToANodeWithinItsDuration() {
        assertNone(EnumSet.of(Fault.STOP), LeaseSimulation::turn);
        assertNone(EnumSet.of(Fault.STOP, Fault.FREEZE, Fault.CUT, Fault.KILL), LeaseSimulation::turn);
    }

    /** Guards against any of these under all faults together. */
    @Test
    void oneHolderActsAtATime() {
        assertNone(EnumSet.allOf(Fault.class), LeaseSimulation::staleCall);
        assertNone(EnumSet.allOf(Fault.class), LeaseSimulation::turn);
    }

    /** Guards against a simulation that finds nothing; {@code FaultMatrixTest} needs the other two mechanisms. */
    @Test
    void mechanismsThatAreOffAreSeen() {
        Set<Fault> all = EnumSet.allOf(Fault.class);
        assertSeen(LeaseMechanism.FENCING, all, LeaseSimulation::staleCall);
        assertSeen(LeaseMechanism.READ_BACK, all, LeaseSimulation::staleCall);
        assertSeen(LeaseMechanism.RETURN_WAIT, EnumSet.of(Fault.STOP), LeaseSimulation::turn);
    }

    private static void assertSeen(
            LeaseMechanism off, Set<Fault> faults, Function<List<Arrival>, Optional<String>> violation) {
        assertThat("violations without " + off, violations(faults, EnumSet.of(off), violation), is(not(Map.of())));
    }

    private static void assertNone(Set<Fault> faults, Function<List<Arrival>, Optional<String>> violation) {
        Map<Integer, String> violations = violations(faults, EnumSet.noneOf(LeaseMechanism.class), violation);
        assertThat(violations.size() + " seeds with violations under " + faults, violations, is(Map.of()));
    }

    private static Map<Integer, String> violations(
            Set<Fault> faults, Set<LeaseMechanism> disabled, Function<List<Arrival>, Optional<String>> violation) {
        Map<Integer, String> violations = new TreeMap<>();
        for (int seed = 0; seed < SEEDS; seed++) {
            int played = seed;
            violation
                    .apply(new LeaseSimulation(seed, faults, disabled).run())
                    .ifPresent(v -> violations.put(played, v));
        }
        return violations;
    }
}
