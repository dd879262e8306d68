package org.magnoliabridge.calls;

import java.util.Optional;
import org.magnoliabridge.ids.ServiceId;
import org.magnoliabridge.ids.TeamId;

/**
 * A generation for one team.
 *
 * @param prompt the rendered prompt
 * @param maxTokens largest number of tokens to generate, at least 1
 * @param deadlineMs on the node's monotonic clock
 * @param trace the caller's span
 */
public record GenerationRequest(
        ServiceId service,
        TeamId team,
        EndpointSource.Priority priority,
        String prompt,
        int maxTokens,
        long deadlineMs,
        Optional<TraceContext> trace) {
    // Long enough to tell system prompts apart, short enough that prompts with the same beginning share a hash.
    private static final int PREFIX_CHARS = 256;

    public GenerationRequest {
        if (maxTokens < 1) {
            throw new IllegalArgumentException("maxTokens must be at least 1: " + maxTokens);
        }
    }

    /** Returns the prompt's tokens, counted as words because engines don't report them. */
    public int promptTokens() {
        return countTokens(prompt);
    }

    /** Returns the hash of the prompt's beginning, in hexadecimal. */
    public String prefixHash() {
        String prefix = prompt.substring(0, Math.min(PREFIX_CHARS, prompt.length()));
        return Integer.toHexString(prefix.hashCode());
    }

    static int countTokens(String text) {
        String stripped = text.strip();
        return stripped.isEmpty() ? 0 : stripped.split("\\s+").length;
    }
}
