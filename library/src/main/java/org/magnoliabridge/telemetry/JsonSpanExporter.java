package org.magnoliabridge.telemetry;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import io.opentelemetry.api.common.AttributeKey;
import io.opentelemetry.sdk.common.CompletableResultCode;
import io.opentelemetry.sdk.trace.data.SpanData;
import io.opentelemetry.sdk.trace.export.SpanExporter;
import java.io.IOException;
import java.io.StringWriter;
import java.io.Writer;
import java.util.Collection;
import java.util.Map;

/** Writes finished spans as JSON lines. */
final class JsonSpanExporter implements SpanExporter {
    private static final JsonFactory FACTORY = new JsonFactory();

    private final String nodeId;
    private final Writer out;

    JsonSpanExporter(String nodeId, Writer out) {
        this.nodeId = nodeId;
        this.out = out;
    }

    @Override
    public synchronized CompletableResultCode export(Collection<SpanData> spans) {
        try {
            for (SpanData span : spans) {
                out.write(line(span));
            }
            out.flush();
            return CompletableResultCode.ofSuccess();
        } catch (IOException e) {
            return CompletableResultCode.ofExceptionalFailure(e);
        }
    }

    @Override
    public CompletableResultCode flush() {
        return CompletableResultCode.ofSuccess();
    }

    @Override
    public synchronized CompletableResultCode shutdown() {
        try {
            out.close();
            return CompletableResultCode.ofSuccess();
        } catch (IOException e) {
            return CompletableResultCode.ofExceptionalFailure(e);
        }
    }

    private String line(SpanData span) throws IOException {
        StringWriter text = new StringWriter();
        try (JsonGenerator json = FACTORY.createGenerator(text)) {
            json.writeStartObject();
            json.writeStringField("trace_id", span.getTraceId());
            json.writeStringField("span_id", span.getSpanId());
            json.writeStringField("parent_span_id", span.getParentSpanId());
            json.writeStringField("node", nodeId);
            json.writeStringField("name", span.getName());
            json.writeNumberField("start_ns", span.getStartEpochNanos());
            json.writeNumberField("duration_ns", span.getEndEpochNanos() - span.getStartEpochNanos());
            json.writeStringField("status", span.getStatus().getStatusCode().name());
            for (Map.Entry<AttributeKey<?>, Object> entry :
                    span.getAttributes().asMap().entrySet()) {
                json.writeStringField(entry.getKey().getKey(), String.valueOf(entry.getValue()));
            }
            json.writeEndObject();
        }
        return text.append('\n').toString();
    }
}
