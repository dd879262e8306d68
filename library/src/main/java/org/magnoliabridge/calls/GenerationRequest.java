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
 * A request to generate text for a team.
 *
 * @param prompt the rendered prompt
 * @param maxTokens maximum number of tokens to generate, at least 1
 * @param deadlineMs on the node's monotonic clock
 * @param trace the caller's span
 * @param minVersion oldest weight version allowed; engines that report an older one are not chosen
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
    // Long enough to distinguish system prompts, short enough that prompts with the same system prompt share a hash.
    private static final int PREFIX_CHARS = 256;
    private static final int BLOCK_CHARS = 64;
    private static final int HASH_BYTES = 8;

    public GenerationRequest {
        if (maxTokens < 1) {
            throw new IllegalArgumentException("maxTokens must be at least 1: " + maxTokens);
        }
    }

    /** Creates a request without a minimum weight version. */
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

    /** Returns a copy with a minimum weight version. */
    public GenerationRequest withMinVersion(WeightVersion oldest) {
        return new GenerationRequest(
                service, team, priority, prompt, maxTokens, deadlineMs, trace, Optional.of(oldest));
    }

    /** Returns the number of prompt tokens, estimated as its words because engines don't report it. */
    public int promptTokens() {
        return countTokens(prompt);
    }

    /**
     * Returns the hash of the prompt's prefix in the format of the engines' load reports: the first 8 bytes of SHA-256
     * in hexadecimal. The prefix consists of whole cache blocks, unless the prompt is shorter than one block.
     */
    public String prefixHash() {
        int wholeBlocks = prompt.length() / BLOCK_CHARS * BLOCK_CHARS;
        String prefix = wholeBlocks == 0 ? prompt : prompt.substring(0, Math.min(PREFIX_CHARS, wholeBlocks));
        try {
            byte[] digest = MessageDigest.getInstance("SHA-256").digest(prefix.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(digest, 0, HASH_BYTES);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is not available", e);
        }
    }

    /** Returns the number of words in a text, used as an estimate of its tokens. */
    public static int countTokens(String text) {
        String stripped = text.strip();
        return stripped.isEmpty() ? 0 : stripped.split("\\s+").length;
    }
}
