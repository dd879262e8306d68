package org.magnoliabridge.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.magnoliabridge.ids.GroupId;
import org.magnoliabridge.ids.ItemId;

class BatchItemTest {
    /** Guards against a request to an engine that is smuggled inside the path of an item. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "/a HTTP/1.1\r\nHost: b\r\n\r\nPOST /c",
                "/a\nb",
                "/a\rb",
                "/a b",
                "/a\tb",
                "/a\u0000",
                "/\u010d\u010a",
                "a",
                ""
            })
    void pathThatWouldEndTheRequestLineIsRejected(String path) {
        assertThrows(IllegalArgumentException.class, () -> item(path, Map.of()));
    }

    /** Guards against a header or request that is smuggled inside a header of an item. */
    @Test
    void headerThatWouldEndItsLineIsRejected() {
        assertThrows(IllegalArgumentException.class, () -> item("/a", Map.of("X-A", "b\r\nX-B: c")));
        assertThrows(IllegalArgumentException.class, () -> item("/a", Map.of("X-A", "b\nc")));
        assertThrows(IllegalArgumentException.class, () -> item("/a", Map.of("X-A", "\u010a")));
        assertThrows(IllegalArgumentException.class, () -> item("/a", Map.of("X-A: b\r\nX-B", "c")));
        assertThrows(IllegalArgumentException.class, () -> item("/a", Map.of("X A", "b")));
        assertThrows(IllegalArgumentException.class, () -> item("/a", Map.of("", "b")));
    }

    /** Guards against proper items that are rejected. */
    @Test
    void properItemIsAccepted() {
        Map<String, String> headers = Map.of("X-Kind", "m0", "X-List", "9c2e41:300, 5d:2", "x-empty", "");
        BatchItem item = item("/pufi791/3/91c4?x=%20a&y={1};z", headers);
        assertThat(item.headers(), is(headers));
        assertThat(item.path(), is("/pufi791/3/91c4?x=%20a&y={1};z"));
    }

    private static BatchItem item(String path, Map<String, String> headers) {
        return new BatchItem(new ItemId("i"), new GroupId("g"), path, headers, new byte[0], 1, 2, 0);
    }
}
