package org.magnoliabridge.calls;

import java.net.InetSocketAddress;
import org.magnoliabridge.http.HttpLimits;
import org.magnoliabridge.ids.RequestId;

/**
 * Speaks the protocol of one kind of engine; calls block, so they are made from traffic threads.
 *
 * <p>An adapter neither retries nor judges whether an answer is whole: {@link GenerationCaller} does both.
 */
public interface EngineAdapter {
    /**
     * Generates text and hands over the engine's events as they arrive.
     *
     * @throws EngineFailure if the engine gave no properly ended answer
     */
    void generate(GenerateCall call, EventReceiver events) throws EngineFailure;

    /** Asks the engine to stop a request; best effort, never fails. */
    void cancel(InetSocketAddress engine, RequestId request);

    /**
     * Reads the engine's load over a fresh connection, so it also shows whether the engine can be reached at all.
     *
     * @throws EngineFailure if there is no report within the adapter's probe limit
     */
    LoadReport fetchLoad(InetSocketAddress engine) throws EngineFailure;

    /** Receives events; returns false to close the connection. */
    @FunctionalInterface
    interface EventReceiver {
        /** Takes an event; returns false to stop. */
        boolean onEvent(EngineEvent event);
    }

    /** One request to one engine; {@code request} is this hop's own id. */
    record GenerateCall(
            InetSocketAddress engine,
            RequestId requestId,
            String prompt,
            int maxTokens,
            HttpLimits limits,
            TraceContext trace) {}
}
