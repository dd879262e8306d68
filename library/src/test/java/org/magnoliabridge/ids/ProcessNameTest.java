package org.magnoliabridge.ids;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.Optional;
import org.junit.jupiter.api.Test;

class ProcessNameTest {
    /** Guards against names that do not survive the store, and texts of another form that end the reader. */
    @Test
    void readsWhatItWrites() {
        ProcessName name = new ProcessName(new NodeId("edge-trent-1"), new Incarnation(17));
        assertThat(ProcessName.parse(name.toString()), is(Optional.of(name)));
        assertThat(ProcessName.parse("edge"), is(Optional.empty()));
        assertThat(ProcessName.parse("edge-"), is(Optional.empty()));
        assertThat(ProcessName.parse("edge-99999999999999999999"), is(Optional.empty()));
    }

    /** Guards against a process that is taken for ended because another node has started. */
    @Test
    void onlyALaterStartOfTheSameNodeEndsAProcess() {
        ProcessName first = new ProcessName(new NodeId("edge-1"), new Incarnation(3));
        assertThat(first.isBefore(new ProcessName(new NodeId("edge-1"), new Incarnation(4))), is(true));
        assertThat(first.isBefore(new ProcessName(new NodeId("edge-1"), new Incarnation(3))), is(false));
        assertThat(first.isBefore(new ProcessName(new NodeId("edge-2"), new Incarnation(4))), is(false));
    }
}
