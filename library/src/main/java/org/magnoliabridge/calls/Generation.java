package org.magnoliabridge.calls;

import java.util.List;

/**
 * A whole generated answer.
 *
 * @param text all tokens joined
 * @param tokens number of generated tokens
 * @param promptTokens number of tokens of the prompt
 * @param versions ranges without gaps from 0 to {@code tokens}
 */
public record Generation(String text, int tokens, int promptTokens, FinishReason reason, List<VersionRange> versions) {
    public Generation {
        versions = List.copyOf(versions);
    }
}
