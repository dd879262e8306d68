package org.magnoliabridge.keys;

import java.util.List;
import java.util.Objects;

/**
 * The parts of a caller's request that can contain an API key.
 *
 * @param headers in the order received; a repeated header has one entry per value
 * @param query the raw query without the question mark; empty if there is none
 * @param body the content; empty if there is none; not copied, callers must not change it
 */
@SuppressWarnings("ArrayRecordComponent")
public record CallerRequest(List<Header> headers, String query, byte[] body) {
    public CallerRequest {
        headers = List.copyOf(headers);
        Objects.requireNonNull(query);
        Objects.requireNonNull(body);
    }

    /** A header line. */
    public record Header(String name, String value) {}
}
