package org.magnoliabridge.ledger;

import org.magnoliabridge.external.StoreRequest;

/** An action that {@link LedgerCore} asks its caller to perform. */
public sealed interface LedgerEffect {
    /** Send a store request with decision priority and pass its answer to {@link LedgerInput.Reply} with the tag. */
    record Store(long tag, StoreRequest request) implements LedgerEffect {}

    /**
     * Send the call to its service, once, and report the result.
     *
     * @param sendBeforeMs if the first byte was not written by then, the result is {@link LedgerInput.NotRun}
     */
    record Send(long callId, long sendBeforeMs) implements LedgerEffect {}

    /** Answer the caller; given exactly once for each call. */
    record Answer(long callId, Outcome outcome) implements LedgerEffect {}

    /** The outcome of a call that the caller receives. */
    sealed interface Outcome {}

    /**
     * This call, or an earlier one with the same key, ran.
     *
     * @param repeated whether this is the stored answer of an earlier call
     */
    record Ran(StoredAnswer answer, boolean repeated) implements Outcome {}

    /** This call did not run and will not run; the caller may repeat it with the same key. */
    record NotRun(Reason reason) implements Outcome {}

    /** The call, or an earlier one with the same key, may have run. */
    record Unknown() implements Outcome {}

    /** The key was already used with a different body. */
    record Conflict() implements Outcome {}

    /** Why a call did not run. */
    enum Reason {
        PLATFORM_UNAVAILABLE,
        DEADLINE_EXCEEDED,
        LEDGER_FULL,
        BACK_END_REFUSED
    }
}
