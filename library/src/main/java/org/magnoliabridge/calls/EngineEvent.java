package org.magnoliabridge.calls;

import org.magnoliabridge.ids.WeightVersion;

/** One event of an engine's answer. */
public sealed interface EngineEvent {
    /** A generated token; {@code index} counts from 0 within this hop. */
    record Token(String requestId, int index, String token, WeightVersion version) implements EngineEvent {}

    /** The end of the generation, with the number of tokens the engine sent. */
    record Finish(String requestId, FinishReason reason, int tokens) implements EngineEvent {}

    /** The mark after the last event. */
    record EndMark() implements EngineEvent {}

    /** An event that does not follow the protocol. */
    record Malformed(String detail) implements EngineEvent {}
}
