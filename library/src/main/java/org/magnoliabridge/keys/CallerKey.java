package org.magnoliabridge.keys;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import org.magnoliabridge.keys.CallerRequest.Header;

/**
 * The API key of a caller's request, and the request without that key.
 *
 * <p>A key is accepted in {@code Authorization: Bearer}, {@code X-Api-Key}, the cookie {@code api_key}, the query
 * parameter {@code api_key}, or the top-level field {@code api_key} of a JSON body. Bodies of other types are passed on
 * unchanged.
 *
 * <pre>{@code
 * CallerKey key = CallerKey.extract(request);
 * KeyTable.Result result = key.text().map(table::authenticate).orElse(new KeyTable.Unknown());
 * send(key.stripped());
 * }</pre>
 */
public final class CallerKey {
    private static final String FIELD_NAME = "api_key";
    private static final String BEARER = "bearer ";

    private final Optional<String> text;
    private final CallerRequest stripped;

    private CallerKey(Optional<String> text, CallerRequest stripped) {
        this.text = text;
        this.stripped = stripped;
    }

    /**
     * Extracts the key from a request.
     *
     * @throws MalformedRequestException if the query or a JSON body cannot be read
     */
    public static CallerKey extract(CallerRequest request) throws MalformedRequestException {
        Set<String> found = new LinkedHashSet<>();
        List<Header> headers = new ArrayList<>();
        for (Header header : request.headers()) {
            extractFromHeader(header, found).ifPresent(headers::add);
        }
        String query = extractFromQuery(request.query(), found);
        byte[] body =
                JsonKeyField.isJson(request) ? JsonKeyField.remove(request.body(), FIELD_NAME, found) : request.body();
        // Headers and query parameters of other names are removed if they contain a key that was found.
        headers.removeIf(h -> found.stream().anyMatch(h.value()::contains));
        return new CallerKey(onlyKey(found), new CallerRequest(headers, withoutKeys(query, found), body));
    }

    /** Returns the key as received; empty if there is none, or if the request contains different keys. */
    public Optional<String> text() {
        return text;
    }

    /** Returns the request without the key. */
    public CallerRequest stripped() {
        return stripped;
    }

    /** Returns a text for logs that does not contain the key. */
    @Override
    public String toString() {
        return text.isPresent() ? "CallerKey[***]" : "CallerKey[none]";
    }

    private static Optional<String> onlyKey(Set<String> found) {
        return found.size() == 1 ? Optional.of(found.iterator().next()) : Optional.empty();
    }

    private static Optional<Header> extractFromHeader(Header header, Set<String> found) {
        return switch (header.name().toLowerCase(Locale.ROOT)) {
            case "authorization" -> extractFromAuthorization(header.value().strip(), found);
            case "x-api-key" -> {
                add(header.value(), found);
                yield Optional.empty();
            }
            case "cookie" -> extractFromCookies(header, found);
            default -> Optional.of(header);
        };
    }

    // The header is removed whatever its scheme, so that a key sent without "Bearer" is not passed on.
    private static Optional<Header> extractFromAuthorization(String value, Set<String> found) {
        if (value.toLowerCase(Locale.ROOT).startsWith(BEARER)) {
            add(value.substring(BEARER.length()), found);
        }
        return Optional.empty();
    }

    private static Optional<Header> extractFromCookies(Header header, Set<String> found) {
        List<String> kept = new ArrayList<>();
        for (String cookie : header.value().split(";", -1)) {
            int equals = cookie.indexOf('=');
            if (equals >= 0 && cookie.substring(0, equals).strip().equalsIgnoreCase(FIELD_NAME)) {
                add(cookie.substring(equals + 1).strip().replace("\"", ""), found);
            } else if (!cookie.isBlank()) {
                kept.add(cookie.strip());
            }
        }
        return kept.isEmpty() ? Optional.empty() : Optional.of(new Header(header.name(), String.join("; ", kept)));
    }

    private static String extractFromQuery(String query, Set<String> found) throws MalformedRequestException {
        List<String> kept = new ArrayList<>();
        for (String parameter : parameters(query)) {
            int equals = parameter.indexOf('=');
            String name = decode(equals < 0 ? parameter : parameter.substring(0, equals));
            if (name.equalsIgnoreCase(FIELD_NAME)) {
                add(equals < 0 ? "" : decode(parameter.substring(equals + 1)), found);
            } else {
                kept.add(parameter);
            }
        }
        return String.join("&", kept);
    }

    private static String withoutKeys(String query, Set<String> found) throws MalformedRequestException {
        List<String> kept = new ArrayList<>();
        for (String parameter : parameters(query)) {
            if (found.stream().noneMatch(decode(parameter)::contains)) {
                kept.add(parameter);
            }
        }
        return String.join("&", kept);
    }

    private static List<String> parameters(String query) {
        return query.isEmpty() ? List.of() : List.of(query.split("&", -1));
    }

    private static String decode(String text) throws MalformedRequestException {
        try {
            return URLDecoder.decode(text, StandardCharsets.UTF_8);
        } catch (IllegalArgumentException e) {
            throw new MalformedRequestException(MalformedRequestException.Part.QUERY);
        }
    }

    private static void add(String value, Set<String> found) {
        if (!value.isBlank()) {
            found.add(value.strip());
        }
    }
}
