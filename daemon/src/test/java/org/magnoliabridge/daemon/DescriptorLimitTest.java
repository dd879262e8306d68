package org.magnoliabridge.daemon;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

class DescriptorLimitTest {
    /** Guards against a node that takes the limit it could have for the one in force. */
    @Test
    void readsTheLimitInForce() {
        String limits = """
                Limit                     Soft Limit           Hard Limit           Units
                Max processes             127000               127000               processes
                Max open files            2212                 4100                 files
                """;
        assertThat(DescriptorLimit.parse(limits), is(2_212));
        assertThat(DescriptorLimit.ofThisProcess(), is(greaterThan(0)));
    }

    /** Guards against a node that does not start where the system has no limit or does not tell it. */
    @Test
    void hasADefault() {
        assertThat(DescriptorLimit.parse(""), is(DescriptorLimit.DEFAULT));
        assertThat(
                DescriptorLimit.parse("Max open files            unlimited            unlimited            files\n"),
                is(DescriptorLimit.DEFAULT));
    }
}
