package org.magnoliabridge.wire;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.util.HashSet;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;
import org.magnoliabridge.ids.Incarnation;

class CallNumberTest {
    /** Guards against a number of one run that another run gives out too. */
    @Property
    void numbersOfDifferentRunsDiffer(
            @ForAll @LongRange(min = 0, max = (1L << 32) - 2) long run,
            @ForAll int firstCount,
            @ForAll int secondCount) {
        CallNumber first = new CallNumber(new Incarnation(run), firstCount);
        CallNumber second = new CallNumber(new Incarnation(run + 1), secondCount);
        assertThat(first.requestId() == second.requestId(), is(false));
        assertThat(first.isOfThisRun(first.requestId()), is(true));
        assertThat(first.isOfThisRun(second.requestId()), is(false));
        assertThat(second.isOfThisRun(first.requestId()), is(false));
    }

    /** Guards against numbers that repeat within a run, or that mark a frame without an answer. */
    @Test
    void numbersOfOneRunDiffer() {
        for (long run : new long[] {0, 1, 1L << 31, 1L << 32, 1_765_000_000_000L}) {
            CallNumber number = new CallNumber(new Incarnation(run), -3);
            Set<Long> ids = new HashSet<>();
            for (int i = 0; i < 6; i++) {
                number = number.next();
                ids.add(number.requestId());
                assertThat(number.count() == 0, is(false));
                assertThat(number.isOfThisRun(number.requestId()), is(true));
            }
            assertThat(ids.size(), is(6));
            assertThat(CallNumber.beforeFirst(new Incarnation(run)).next().count(), is(greaterThan(0)));
        }
    }
}
