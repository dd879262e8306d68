package org.magnoliabridge.wire;

import java.util.Objects;
import org.magnoliabridge.ids.Incarnation;

/**
 * Numbers the calls of one start of a node, so that an answer to a call of an earlier process never has the number of a
 * call of this one.
 *
 * <p>As the request id of a {@link Frame}, the high 32 bits are the low ones of the incarnation; the low 32 bits count.
 *
 * @param run start of the node that makes the call
 * @param count number of the call in this run, from 1
 */
public record CallNumber(Incarnation run, int count) {
    private static final int COUNT_BITS = 32;

    public CallNumber {
        Objects.requireNonNull(run);
    }

    /** Returns the number before the first call of a run. */
    public static CallNumber beforeFirst(Incarnation run) {
        return new CallNumber(run, 0);
    }

    /** Returns the number of the next call of the same run; after 2^32 calls the numbers repeat. */
    public CallNumber next() {
        // 0 marks a frame without an answer.
        return new CallNumber(run, count == -1 ? 1 : count + 1);
    }

    /** Returns the request id of the frame that makes the call, and of the frame that answers it. */
    public long requestId() {
        return run.value() << COUNT_BITS | Integer.toUnsignedLong(count);
    }

    /** Returns whether a request id was given out by this run. */
    public boolean isOfThisRun(long requestId) {
        return requestId >>> COUNT_BITS == (run.value() << COUNT_BITS >>> COUNT_BITS);
    }
}
