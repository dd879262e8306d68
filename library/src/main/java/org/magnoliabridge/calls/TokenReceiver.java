package org.magnoliabridge.calls;

import org.magnoliabridge.ids.WeightVersion;

/** Receives the tokens of a streamed generation, each exactly once and in order. */
@FunctionalInterface
public interface TokenReceiver {
    /** Takes the token with the index counted over the whole answer; returns false if nobody reads any more. */
    boolean onToken(int index, String text, WeightVersion version);
}
