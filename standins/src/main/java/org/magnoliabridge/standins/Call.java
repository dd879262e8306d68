package org.magnoliabridge.standins;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Locale;
import java.util.Map;

/**
 * A request as a stand-in got it.
 *
 * @param path the decoded path, without the query
 * @param query first value of each query parameter
 * @param headers first value of each header, names in lower case
 */
@SuppressWarnings("ArrayRecordComponent")
record Call(String method, String path, Map<String, String> query, Map<String, String> headers, byte[] body) {
    JsonNode json() throws BadCallException {
        return Json.parse(body);
    }

    boolean is(String wantedMethod, String wantedPath) {
        return method.equals(wantedMethod) && path.equals(wantedPath);
    }

    boolean isUnder(String wantedMethod, String prefix) {
        return method.equals(wantedMethod) && path.startsWith(prefix) && path.length() > prefix.length();
    }

    String after(String prefix) {
        return path.substring(prefix.length());
    }

    String query(String name, String absent) {
        return query.getOrDefault(name, absent);
    }

    long query(String name, long absent) throws BadCallException {
        String text = query.get(name);
        if (text == null) {
            return absent;
        }
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            throw new BadCallException("query parameter " + name + " must be a whole number");
        }
    }

    String header(String name) {
        return headers.get(name.toLowerCase(Locale.ROOT));
    }

    ObjectNode headersAsJson() {
        ObjectNode all = Json.object();
        headers.forEach(all::put);
        return all;
    }
}
