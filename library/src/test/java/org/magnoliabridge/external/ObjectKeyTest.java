package org.magnoliabridge.external;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import org.junit.jupiter.api.Test;

class ObjectKeyTest {
    /** Guards against a stack overflow that ends the thread which reads an object with an odd name. */
    @Test
    void readsAKeyOfManySegmentsOnASmallStack() throws InterruptedException {
        Throwable[] failure = new Throwable[1];
        Runnable read = () -> new ObjectKey("servers" + "/a".repeat(400_000));
        Thread thread = new Thread(null, read, "small-stack", 256 * 1024);
        thread.setUncaughtExceptionHandler((t, e) -> failure[0] = e);
        thread.start();
        thread.join();
        assertThat(failure[0], is(nullValue()));
    }

    /** Guards against a key that means another path. */
    @Test
    void rejectsOtherCharactersAndEmptySegments() {
        for (String good : List.of("a", "a/b", "a.b_c-d/0", "leases/orders-midlands")) {
            assertThat(new ObjectKey(good).value(), is(good));
        }
        for (String bad : List.of("", "/a", "a/", "a//b", "a/../b", "a b", "a/-b", "a?b", "a%2fb", "\u00e9", "a\n")) {
            assertThrows(IllegalArgumentException.class, () -> new ObjectKey(bad), bad);
        }
    }
}
