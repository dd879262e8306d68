package org.magnoliabridge.telemetry;

import io.opentelemetry.api.trace.Tracer;
import io.opentelemetry.api.trace.TracerProvider;
import io.opentelemetry.sdk.trace.SdkTracerProvider;
import io.opentelemetry.sdk.trace.export.BatchSpanProcessor;
import io.opentelemetry.sdk.trace.samplers.Sampler;
import java.io.IOException;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** Provides the tracer of the process; spans are written to a file as JSON lines, or discarded if no file is set. */
public final class Tracing implements AutoCloseable {
    private static final long CLOSE_WAIT_MS = 2_000;

    private final Tracer tracer;
    private final Optional<SdkTracerProvider> provider;

    private Tracing(TracerProvider tracers, Optional<SdkTracerProvider> provider) {
        this.tracer = tracers.get("magnoliabridge");
        this.provider = provider;
    }

    /** Returns an instance whose tracer records nothing. */
    public static Tracing disabled() {
        return new Tracing(TracerProvider.noop(), Optional.empty());
    }

    /**
     * Returns an instance whose tracer appends spans to a file.
     *
     * @param sampleRatio the fraction of new traces to record, from 0 to 1; a caller's sampling decision is kept
     * @throws IOException if the file cannot be opened
     */
    public static Tracing toFile(String nodeId, Path file, double sampleRatio) throws IOException {
        Writer out = Files.newBufferedWriter(
                file, StandardCharsets.UTF_8, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
        SdkTracerProvider provider = SdkTracerProvider.builder()
                .setSampler(Sampler.parentBased(Sampler.traceIdRatioBased(sampleRatio)))
                .addSpanProcessor(BatchSpanProcessor.builder(new JsonSpanExporter(nodeId, out))
                        .build())
                .build();
        return new Tracing(provider, Optional.of(provider));
    }

    public Tracer tracer() {
        return tracer;
    }

    @Override
    public void close() {
        provider.ifPresent(p -> p.shutdown().join(CLOSE_WAIT_MS, TimeUnit.MILLISECONDS));
    }
}
