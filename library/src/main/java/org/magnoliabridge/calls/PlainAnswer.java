package org.magnoliabridge.calls;

import java.util.Map;
import org.magnoliabridge.memory.Content;

/**
 * The complete response of a plain service.
 *
 * @param headers the headers on the allow list, with names in lower case
 * @param content the body
 */
public record PlainAnswer(int status, Map<String, String> headers, Content content) {
    public PlainAnswer {
        headers = Map.copyOf(headers);
    }

    /** Creates an answer with its body in one array, which is not copied and must not be changed. */
    public PlainAnswer(int status, Map<String, String> headers, byte[] body) {
        this(status, headers, Content.of(body));
    }

    /** Returns a copy of the body in one array; for small bodies only. */
    public byte[] body() {
        return content.toArray();
    }
}
