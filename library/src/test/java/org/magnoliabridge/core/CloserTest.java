package org.magnoliabridge.core;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class CloserTest {
    /** Guards against closing a resource before the resources that depend on it. */
    @Test
    void closesInReverseOrder() throws CloseFailedException {
        List<String> closed = new ArrayList<>();
        Closer closer = new Closer();
        closer.register(() -> closed.add("first"));
        closer.register(() -> closed.add("second"));
        closer.close();
        assertThat(closed, contains("second", "first"));
    }

    /** Guards against leaking the remaining resources when one fails to close. */
    @Test
    void closesTheRestAfterAFailure() {
        List<String> closed = new ArrayList<>();
        Closer closer = new Closer();
        closer.register(() -> closed.add("first"));
        closer.register(() -> {
            throw new IllegalStateException("cannot close");
        });
        assertThrows(CloseFailedException.class, closer::close);
        assertThat(closed, contains("first"));
    }
}
