package org.magnoliabridge.calls;

import org.magnoliabridge.ids.WeightVersion;

/** An event in an engine's response stream. */
public sealed interface EngineEvent {
    /** A generated token; {@code index} starts at 0 for each request to an engine. */
    record Token(String requestId, int index, String token, WeightVersion version) implements EngineEvent {}

    /** The end of the generation, with the number of tokens that the engine sent. */
    record Finish(String requestId, FinishReason reason, int tokens) implements EngineEvent {}

    /** The marker {@code [DONE]} that terminates the stream. */
    record EndMark() implements EngineEvent {}

    /** An event that does not follow the protocol. */
    record Malformed(String detail) implements EngineEvent {}
}
