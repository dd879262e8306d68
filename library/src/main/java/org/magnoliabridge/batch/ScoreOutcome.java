package org.magnoliabridge.batch;

import java.util.Objects;
import org.magnoliabridge.calls.AttemptEnd;

/** How a call for a score ended. */
public sealed interface ScoreOutcome {
    /** The service answered with success; {@code score} is the seal of its answer. */
    record Scored(String score) implements ScoreOutcome {
        public Scored {
            Objects.requireNonNull(score);
        }
    }

    /** The service failed; the call counts as an attempt. */
    record Failed() implements ScoreOutcome {}

    /**
     * The service did not run the call.
     *
     * @param leaving whether the endpoint no longer accepts new work
     */
    record Refused(boolean leaving) implements ScoreOutcome {}

    /** The endpoint could not be reached; the call did not run there. */
    record Unreachable() implements ScoreOutcome {}

    /**
     * There was no answer in time, or one that cannot be used.
     *
     * @param end how the call ended, as far as this concerns its endpoint
     */
    record Broken(String reason, AttemptEnd end) implements ScoreOutcome {
        /** Creates an outcome that the endpoint or its connection has caused. */
        public Broken(String reason) {
            this(reason, AttemptEnd.BROKEN);
        }
    }

    /** The call was not sent, because its batch has ended or may have. */
    record Withheld() implements ScoreOutcome {}

    /** The call was stopped by this node. */
    record Stopped() implements ScoreOutcome {}

    /** Returns how the call ended, as far as this concerns its endpoint. */
    default AttemptEnd attemptEnd() {
        return switch (this) {
            case Scored scored -> AttemptEnd.ANSWERED;
            case Failed failed -> AttemptEnd.FAILED;
            case Unreachable unreachable -> AttemptEnd.UNREACHABLE;
            case Broken broken -> broken.end();
            // An endpoint refuses while it is full; EngineBackoff covers that.
            case Refused refused -> refused.leaving() ? AttemptEnd.LEAVING : AttemptEnd.STOPPED;
            case Withheld withheld -> AttemptEnd.STOPPED;
            case Stopped stopped -> AttemptEnd.STOPPED;
        };
    }
}
