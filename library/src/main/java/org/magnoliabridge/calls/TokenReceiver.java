package org.magnoliabridge.calls;

import org.magnoliabridge.ids.WeightVersion;

/** Receives the tokens of a streamed generation, each exactly once and in order. */
@FunctionalInterface
public interface TokenReceiver {
    /** Receives a token and its index in the complete result; returns false if the caller has disconnected. */
    boolean onToken(int index, String text, WeightVersion version);
}
