package org.magnoliabridge.calls;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Optional;
import org.magnoliabridge.ids.ServiceId;
import org.magnoliabridge.ids.TeamId;
import org.magnoliabridge.ids.WeightVersion;

/**
 * A generation for one team.
 *
 * @param prompt the rendered prompt
 * @param maxTokens largest number of tokens to generate, at least 1
 * @param deadlineMs on the node's monotonic clock
 * @param trace the caller's span
 * @param minVersion engines that report older weights are not chosen
 */
public record GenerationRequest(
        ServiceId service,
        TeamId team,
        EndpointSource.Priority priority,
        String prompt,
        int maxTokens,
        long deadlineMs,
        Optional<TraceContext> trace,
        Optional<WeightVersion> minVersion) {
    // Long enough to tell system prompts apart, short enough that prompts with the same beginning share a hash.
    private static final int PREFIX_CHARS = 256;
    private static final int BLOCK_CHARS = 64;
    private static final int HASH_BYTES = 8;

    public GenerationRequest {
        if (maxTokens < 1) {
            throw new IllegalArgumentException("maxTokens must be at least 1: " + maxTokens);
        }
    }

    /** Creates a request that any weights may serve. */
    public GenerationRequest(
            ServiceId service,
            TeamId team,
            EndpointSource.Priority priority,
            String prompt,
            int maxTokens,
            long deadlineMs,
            Optional<TraceContext> trace) {
        this(service, team, priority, prompt, maxTokens, deadlineMs, trace, Optional.empty());
    }

    /** Returns a copy that only engines with at least these weights serve. */
    public GenerationRequest withMinVersion(WeightVersion oldest) {
        return new GenerationRequest(
                service, team, priority, prompt, maxTokens, deadlineMs, trace, Optional.of(oldest));
    }

    /** Returns the prompt's tokens, counted as words because engines don't report them. */
    public int promptTokens() {
        return countTokens(prompt);
    }

    /**
     * Returns the hash of the prompt's beginning as engines name it in load reports: the first 8 bytes of SHA-256 in
     * hexadecimal, at a whole number of cache blocks.
     */
    public String prefixHash() {
        int whole = prompt.length() / BLOCK_CHARS * BLOCK_CHARS;
        String prefix = whole == 0 ? prompt : prompt.substring(0, Math.min(PREFIX_CHARS, whole));
        try {
            byte[] digest = MessageDigest.getInstance("SHA-256").digest(prefix.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(digest, 0, HASH_BYTES);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every JDK has SHA-256", e);
        }
    }

    /** Returns the number of words of a text, which is counted as its tokens. */
    public static int countTokens(String text) {
        String stripped = text.strip();
        return stripped.isEmpty() ? 0 : stripped.split("\\s+").length;
    }
}
