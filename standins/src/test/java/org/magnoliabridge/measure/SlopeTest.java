package org.magnoliabridge.measure;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import org.junit.jupiter.api.Test;

class SlopeTest {
    private static final List<Slope.Point> POINTS =
            List.of(new Slope.Point(1, 5), new Slope.Point(2, 7), new Slope.Point(3, 9), new Slope.Point(4, 13));

    /** Guards against a wrong prediction at sizes that were not measured. */
    @Test
    void fitsALineAndShowsItsWorstResidual() {
        Slope slope = Slope.fit("test", "nodes", "bytes", POINTS);
        assertThat(slope.gradient(), closeTo(2.6, 1e-9));
        assertThat(slope.at(10), closeTo(28, 1e-9));
        assertThat(slope.worstResidual(), closeTo(0.8 / 13, 1e-9));
    }

    /** Guards against a line through too few sizes. */
    @Test
    void refusesTooFewSizes() {
        assertThrows(IllegalArgumentException.class, () -> Slope.fit("test", "nodes", "bytes", POINTS.subList(0, 3)));
    }
}
