package org.magnoliabridge.calls;

/**
 * Runs generations on engines: checks each response, and retries or resumes on another engine within the retry budget.
 *
 * <pre>{@code
 * Generation result = caller.generate(request, new Cancellation());
 * Generation streamed = caller.stream(request, cancellation, (index, text, version) -> write(text));
 * }</pre>
 *
 * <p>Calls block, so they are made on traffic threads.
 */
public final class GenerationCaller {
    private final EngineAdapter adapter;
    private final CallDependencies dependencies;

    public GenerationCaller(EngineAdapter adapter, CallDependencies dependencies) {
        this.adapter = adapter;
        this.dependencies = dependencies;
    }

    /**
     * Generates and returns the complete text; a retry starts again from the first token.
     *
     * @throws CallException if no attempt gives a complete result
     */
    public Generation generate(GenerationRequest request, Cancellation cancellation) throws CallException {
        return new GenerationCall(adapter, dependencies, request, cancellation, null).run();
    }

    /**
     * Generates and passes each token to {@code receiver} as it arrives; a retry continues after the last delivered
     * token, on an engine with the same weights if there is one.
     *
     * @return the complete result, which consists of the delivered tokens
     * @throws CallException if the result can't be completed; the tokens delivered so far must then be discarded
     */
    public Generation stream(GenerationRequest request, Cancellation cancellation, TokenReceiver receiver)
            throws CallException {
        return new GenerationCall(adapter, dependencies, request, cancellation, receiver).run();
    }
}
