package org.magnoliabridge.calls;

import java.util.List;

/**
 * The complete result of a generation.
 *
 * @param text all tokens, concatenated
 * @param tokens number of generated tokens
 * @param promptTokens number of tokens in the prompt
 * @param versions weight versions of the tokens, as ranges without gaps from 0 to {@code tokens}
 */
public record Generation(String text, int tokens, int promptTokens, FinishReason reason, List<VersionRange> versions) {
    public Generation {
        versions = List.copyOf(versions);
    }
}
