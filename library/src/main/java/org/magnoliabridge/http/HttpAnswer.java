package org.magnoliabridge.http;

import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.magnoliabridge.memory.Content;

/**
 * A complete HTTP answer.
 *
 * @param status the HTTP status
 * @param headers header names in lower case, with their first value
 * @param content the body
 */
public record HttpAnswer(int status, Map<String, String> headers, Content content) {
    public HttpAnswer {
        headers = Map.copyOf(headers);
    }

    /** Creates an answer with its body in one array, which is not copied and must not be changed. */
    public HttpAnswer(int status, Map<String, String> headers, byte[] body) {
        this(status, headers, Content.of(body));
    }

    /** Returns a copy of the body in one array; for small bodies only. */
    public byte[] body() {
        return content.toArray();
    }

    /** Returns the first value of a header; the name is case-insensitive. */
    public Optional<String> header(String name) {
        return Optional.ofNullable(headers.get(name.toLowerCase(Locale.ROOT)));
    }

    /** Returns the body as UTF-8 text. */
    public String text() {
        return new String(body(), StandardCharsets.UTF_8);
    }
}
