package org.magnoliabridge.calls;

import java.net.InetSocketAddress;
import org.magnoliabridge.http.HttpLimits;
import org.magnoliabridge.ids.RequestId;

/**
 * Client for the protocol of one kind of engine; its methods block, so they are called on traffic threads.
 *
 * <p>An adapter neither retries nor checks that a response is complete: {@link GenerationCaller} does both.
 */
public interface EngineAdapter {
    /**
     * Generates text and passes the engine's events to {@code events} as they arrive.
     *
     * @throws EngineFailure if the engine sent no properly terminated response
     */
    void generate(GenerateCall call, EventReceiver events) throws EngineFailure;

    /** Asks the engine to cancel a request; best effort, errors are not reported. */
    void cancel(InetSocketAddress engine, RequestId request);

    /**
     * Reads the engine's load over a new connection, which also shows whether the engine is reachable.
     *
     * @throws EngineFailure if the engine sends no report within the adapter's probe limits
     */
    LoadReport fetchLoad(InetSocketAddress engine) throws EngineFailure;

    /** Receives the events of a response. */
    @FunctionalInterface
    interface EventReceiver {
        /** Receives an event; returns false to stop and close the connection. */
        boolean onEvent(EngineEvent event);
    }

    /** A request to one engine; {@code requestId} is a new id for this hop, not the caller's request id. */
    record GenerateCall(
            InetSocketAddress engine,
            RequestId requestId,
            String prompt,
            int maxTokens,
            HttpLimits limits,
            TraceContext trace) {}
}
