package org.magnoliabridge.calls;

/**
 * Makes generations: chooses an engine, checks the answer, and retries or resumes on another engine within the budget.
 *
 * <pre>{@code
 * Generation answer = caller.whole(request, new Cancellation());
 * Generation streamed = caller.streamed(request, cancellation, (index, text, version) -> write(text));
 * }</pre>
 *
 * <p>Calls block, so they are made from traffic threads.
 */
public final class GenerationCaller {
    private final EngineAdapter engines;
    private final CallDependencies tools;

    public GenerationCaller(EngineAdapter engines, CallDependencies tools) {
        this.engines = engines;
        this.tools = tools;
    }

    /**
     * Generates a whole answer; a failed attempt starts again from the first token.
     *
     * @throws CallException if there is no whole answer
     */
    public Generation generate(GenerationRequest request, Cancellation cancellation) throws CallException {
        return new GenerationCall(engines, tools, request, cancellation, null).run();
    }

    /**
     * Generates and hands over each token as it arrives; a failed attempt continues after its last handed-over token,
     * on an engine with the same weights if there is one.
     *
     * @return the whole answer, equal to the tokens handed over
     * @throws CallException if the answer can't be completed; the tokens handed over are then not an answer
     */
    public Generation stream(GenerationRequest request, Cancellation cancellation, TokenReceiver receiver)
            throws CallException {
        return new GenerationCall(engines, tools, request, cancellation, receiver).run();
    }
}
