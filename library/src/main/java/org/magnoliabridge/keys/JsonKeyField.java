package org.magnoliabridge.keys;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Locale;
import java.util.Set;
import org.magnoliabridge.keys.CallerRequest.Header;

/** Removes a top-level field from a JSON body; numbers are copied digit by digit. */
final class JsonKeyField {
    private static final JsonFactory JSON = new JsonFactory();

    private JsonKeyField() {}

    /** Returns whether to parse the body as JSON, by its content type or, if it has none, by its first character. */
    static boolean isJson(CallerRequest request) throws MalformedRequestException {
        if (request.body().length == 0) {
            return false;
        }
        String type = value(request, "content-type");
        boolean json = type.isEmpty() ? startsObject(request.body()) : type.contains("json");
        String encoding = value(request, "content-encoding");
        if (json && !encoding.isEmpty() && !encoding.equals("identity")) {
            throw new MalformedRequestException(MalformedRequestException.Part.ENCODING);
        }
        return json;
    }

    /** Returns the body without the field (unchanged if it has none) and adds the field's texts to {@code found}. */
    static byte[] remove(byte[] body, String field, Set<String> found) throws MalformedRequestException {
        ByteArrayOutputStream out = new ByteArrayOutputStream(body.length);
        try (JsonParser parser = JSON.createParser(body);
                JsonGenerator generator = JSON.createGenerator(out)) {
            boolean removed = copy(parser, generator, field, found);
            generator.flush();
            return removed ? out.toByteArray() : body;
        } catch (IOException e) {
            throw new MalformedRequestException(MalformedRequestException.Part.BODY);
        }
    }

    private static boolean copy(JsonParser parser, JsonGenerator generator, String field, Set<String> found)
            throws IOException, MalformedRequestException {
        boolean removed = false;
        boolean inObject = false;
        boolean ended = false;
        int depth = 0;
        for (JsonToken token = parser.nextToken(); token != null; token = parser.nextToken()) {
            // A second top-level value is rejected: it could contain a key, but is not searched.
            if (ended) {
                throw new MalformedRequestException(MalformedRequestException.Part.BODY);
            }
            if (depth == 0) {
                inObject = token == JsonToken.START_OBJECT;
            }
            if (depth == 1 && inObject && isField(parser, token, field)) {
                removed = true;
                extractValue(parser, found);
            } else {
                depth += token.isStructStart() ? 1 : token.isStructEnd() ? -1 : 0;
                generator.copyCurrentEventExact(parser);
                ended = depth == 0;
            }
        }
        return removed;
    }

    private static boolean isField(JsonParser parser, JsonToken token, String field) throws IOException {
        return token == JsonToken.FIELD_NAME && parser.currentName().equals(field);
    }

    private static void extractValue(JsonParser parser, Set<String> found) throws IOException {
        if (parser.nextToken() == JsonToken.VALUE_STRING && !parser.getText().isBlank()) {
            found.add(parser.getText().strip());
        }
        parser.skipChildren();
    }

    private static boolean startsObject(byte[] body) {
        for (byte b : body) {
            if (b > ' ') {
                return b == '{';
            }
        }
        return false;
    }

    private static String value(CallerRequest request, String name) {
        for (Header header : request.headers()) {
            if (header.name().equalsIgnoreCase(name)) {
                return header.value().strip().toLowerCase(Locale.ROOT);
            }
        }
        return "";
    }
}
