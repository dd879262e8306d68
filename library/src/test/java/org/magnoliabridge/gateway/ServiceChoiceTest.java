package org.magnoliabridge.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.util.List;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.magnoliabridge.ids.ServiceId;

class ServiceChoiceTest {
    private static final ServiceId OLD = new ServiceId("old");
    private static final ServiceId NEW = new ServiceId("new");

    /** Guards against a split that does not follow the weights. */
    @Test
    void choosesInProportionToTheWeights() {
        List<WeightedService> split = List.of(new WeightedService(OLD, 90), new WeightedService(NEW, 10));
        long toNew = IntStream.range(0, 10_000)
                .filter(i -> ServiceChoice.choose(split, "request-" + i).equals(NEW))
                .count();
        assertThat(toNew, allOf(greaterThan(900L), lessThan(1_100L)));
    }

    /** Guards against requests to a service of weight zero, and against a retry that switches to another service. */
    @Property
    void neverChoosesAWeightOfZero(@ForAll String request) {
        List<WeightedService> split = List.of(new WeightedService(OLD, 0), new WeightedService(NEW, 3));
        assertThat(ServiceChoice.choose(split, request), is(NEW));
        assertThat(ServiceChoice.choose(split, request), is(ServiceChoice.choose(split, request)));
    }
}
