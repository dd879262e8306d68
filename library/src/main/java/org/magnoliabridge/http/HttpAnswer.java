package org.magnoliabridge.http;

import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * A complete HTTP answer.
 *
 * @param status the HTTP status
 * @param headers header names in lower case, with their first value
 * @param body the content; not copied, callers must not change it
 */
@SuppressWarnings("ArrayRecordComponent")
public record HttpAnswer(int status, Map<String, String> headers, byte[] body) {
    public HttpAnswer {
        headers = Map.copyOf(headers);
    }

    /** Returns the first value of a header; the name is case-insensitive. */
    public Optional<String> header(String name) {
        return Optional.ofNullable(headers.get(name.toLowerCase(Locale.ROOT)));
    }

    /** Returns the body as UTF-8 text. */
    public String text() {
        return new String(body, StandardCharsets.UTF_8);
    }
}
