package org.magnoliabridge.settings;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.magnoliabridge.settings.SettingsException.Kind;
import org.magnoliabridge.settings.SettingsException.Problem;

/** Parses JSON with comments into {@link SettingsValue}s. */
final class SettingsParser {
    private static final int MAX_DEPTH = 32;
    private static final JsonFactory FACTORY = JsonFactory.builder()
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
            .enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
            .streamReadConstraints(
                    StreamReadConstraints.builder().maxNestingDepth(MAX_DEPTH).build())
            .build();

    private SettingsParser() {}

    static SettingsValue.ObjectValue parse(byte[] text) throws SettingsException {
        try (JsonParser parser = FACTORY.createParser(text)) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                throw malformed(lineOf(parser), "an object");
            }
            SettingsValue.ObjectValue fields = object(parser);
            if (parser.nextToken() != null) {
                throw malformed(lineOf(parser), "nothing after the object");
            }
            return fields;
        } catch (JsonProcessingException e) {
            int line = e.getLocation() == null ? 1 : Math.max(1, e.getLocation().getLineNr());
            throw malformed(line, "valid JSON: " + e.getOriginalMessage());
        } catch (IOException e) {
            throw malformed(1, "readable text: " + e.getMessage());
        }
    }

    private static SettingsValue.ObjectValue object(JsonParser parser) throws IOException, SettingsException {
        int line = lineOf(parser);
        Map<String, SettingsValue> values = new LinkedHashMap<>();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            parser.nextToken();
            values.put(name, value(parser));
        }
        return new SettingsValue.ObjectValue(line, values);
    }

    private static SettingsValue.ArrayValue array(JsonParser parser) throws IOException, SettingsException {
        int line = lineOf(parser);
        List<SettingsValue> values = new ArrayList<>();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            values.add(value(parser));
        }
        return new SettingsValue.ArrayValue(line, values);
    }

    private static SettingsValue value(JsonParser parser) throws IOException, SettingsException {
        int line = lineOf(parser);
        JsonToken token = parser.currentToken();
        if (token == null) {
            throw malformed(line, "a value");
        }
        return switch (token) {
            case START_OBJECT -> object(parser);
            case START_ARRAY -> array(parser);
            case VALUE_STRING -> new SettingsValue.StringValue(line, parser.getText());
            case VALUE_NUMBER_INT -> number(parser, line);
            case VALUE_NUMBER_FLOAT -> new SettingsValue.DoubleValue(line, parser.getDoubleValue());
            case VALUE_TRUE -> new SettingsValue.BooleanValue(line, true);
            case VALUE_FALSE -> new SettingsValue.BooleanValue(line, false);
            case VALUE_NULL -> new SettingsValue.NullValue(line);
            default -> throw malformed(line, "a value");
        };
    }

    private static SettingsValue number(JsonParser parser, int line) throws IOException {
        return switch (parser.getNumberType()) {
            case INT, LONG -> new SettingsValue.LongValue(line, parser.getLongValue());
            default -> new SettingsValue.DoubleValue(line, parser.getDoubleValue());
        };
    }

    private static int lineOf(JsonParser parser) {
        return Math.max(1, parser.currentTokenLocation().getLineNr());
    }

    private static SettingsException malformed(int line, String expected) {
        return new SettingsException(List.of(new Problem(Kind.MALFORMED, "", line, expected)));
    }
}
