package org.magnoliabridge.calls;

import java.util.Map;

/**
 * A plain service's whole answer.
 *
 * @param headers those on the allow list, with names in lower case
 * @param body the content; not copied
 */
@SuppressWarnings("ArrayRecordComponent")
public record PlainAnswer(int status, Map<String, String> headers, byte[] body) {
    public PlainAnswer {
        headers = Map.copyOf(headers);
    }
}
