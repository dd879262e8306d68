package org.magnoliabridge.calls;

import java.util.Map;

/**
 * The complete response of a plain service.
 *
 * @param headers the headers on the allow list, with names in lower case
 * @param body the content; the array is not copied
 */
@SuppressWarnings("ArrayRecordComponent")
public record PlainAnswer(int status, Map<String, String> headers, byte[] body) {
    public PlainAnswer {
        headers = Map.copyOf(headers);
    }
}
