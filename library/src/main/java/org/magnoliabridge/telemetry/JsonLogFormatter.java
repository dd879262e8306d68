package org.magnoliabridge.telemetry;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.google.common.flogger.backend.BaseMessageFormatter;
import com.google.common.flogger.backend.LogData;
import com.google.common.flogger.backend.MetadataHandler;
import com.google.common.flogger.backend.system.AbstractLogRecord;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.Map;
import java.util.TreeMap;
import java.util.logging.Formatter;
import java.util.logging.LogRecord;
import java.util.regex.Pattern;

/** Formats a log record as one line of JSON and masks text that looks like a team's API key. */
public final class JsonLogFormatter extends Formatter {
    // Callers do not log API keys, but the message of an exception may contain one.
    private static final Pattern API_KEY = Pattern.compile("mb_[A-Za-z0-9.-]+_[A-Za-z0-9_-]{8,}");
    private static final String MASK = "mb_***";
    private static final JsonFactory FACTORY = new JsonFactory();
    private static final MetadataHandler<Map<String, Object>> FIELDS = MetadataHandler.<Map<String, Object>>builder(
                    (key, value, fields) -> fields.put(key.getLabel(), value))
            .build();

    private final String nodeId;

    public JsonLogFormatter(String nodeId) {
        this.nodeId = nodeId;
    }

    @Override
    public String format(LogRecord record) {
        StringWriter text = new StringWriter();
        try (JsonGenerator json = FACTORY.createGenerator(text)) {
            json.writeStartObject();
            json.writeStringField("time", record.getInstant().toString());
            json.writeStringField("level", record.getLevel().getName());
            json.writeStringField("node", nodeId);
            json.writeStringField("logger", record.getLoggerName());
            json.writeStringField("message", mask(message(record)));
            for (Map.Entry<String, Object> field : fields(record).entrySet()) {
                writeField(json, field.getKey(), field.getValue());
            }
            if (record.getThrown() != null) {
                writeThrown(json, record.getThrown());
            }
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException("failed to write a log record to memory", e);
        }
        return text.append('\n').toString();
    }

    private String message(LogRecord record) {
        if (!(record instanceof AbstractLogRecord flogged)) {
            return formatMessage(record);
        }
        LogData data = flogged.getLogData();
        if (data.getTemplateContext() == null) {
            return String.valueOf(data.getLiteralArgument());
        }
        return BaseMessageFormatter.appendFormattedMessage(data, new StringBuilder())
                .toString();
    }

    private static Map<String, Object> fields(LogRecord record) {
        Map<String, Object> fields = new TreeMap<>();
        if (record instanceof AbstractLogRecord flogged) {
            flogged.getMetadataProcessor().process(FIELDS, fields);
            fields.remove("cause");
        }
        return fields;
    }

    private static void writeField(JsonGenerator json, String name, Object value) throws IOException {
        switch (value) {
            case Long number -> json.writeNumberField(name, number);
            case Integer number -> json.writeNumberField(name, number);
            default -> json.writeStringField(name, mask(value.toString()));
        }
    }

    private static void writeThrown(JsonGenerator json, Throwable thrown) throws IOException {
        json.writeStringField("error", thrown.getClass().getSimpleName());
        json.writeStringField("error_message", mask(String.valueOf(thrown.getMessage())));
        StackTraceElement[] trace = thrown.getStackTrace();
        if (trace.length > 0) {
            json.writeStringField("error_at", trace[0].toString());
        }
    }

    private static String mask(String text) {
        return text.contains("mb_") ? API_KEY.matcher(text).replaceAll(MASK) : text;
    }
}
