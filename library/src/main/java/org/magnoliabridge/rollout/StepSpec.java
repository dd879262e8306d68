package org.magnoliabridge.rollout;

import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.regex.Pattern;
import org.magnoliabridge.ids.ServiceId;

/**
 * The specification of a step, as requested by a trainer.
 *
 * @param trainerVersion the trainer's weight version when it opened the step
 * @param maxStaleness maximum number of versions by which a sample may be older than the trainer when it is delivered
 * @param deadlineMs how long after the opening of the step generations are started, in milliseconds
 * @param samplesPerGroup number of samples for each prompt
 * @param maxTokens maximum number of tokens of a sample
 */
public record StepSpec(
        ServiceId service,
        long trainerVersion,
        long maxStaleness,
        long deadlineMs,
        int samplesPerGroup,
        int maxTokens,
        List<Group> groups) {
    public StepSpec {
        Objects.requireNonNull(service);
        groups = List.copyOf(groups);
        if (trainerVersion < 0 || maxStaleness < 0 || deadlineMs < 1 || samplesPerGroup < 1 || maxTokens < 1) {
            throw new IllegalArgumentException("a number of the step is out of range");
        }
        Set<String> seen = new HashSet<>();
        if (groups.isEmpty() || !groups.stream().allMatch(g -> seen.add(g.id()))) {
            throw new IllegalArgumentException("a step has at least one group, and no group twice");
        }
    }

    /**
     * A prompt that is sampled several times.
     *
     * @param id 1 to 64 letters, digits, underscores or hyphens, so that it is safe inside an object key
     */
    public record Group(String id, String prompt) {
        private static final Pattern VALID = Pattern.compile("[A-Za-z0-9][A-Za-z0-9_-]{0,63}");

        public Group {
            Objects.requireNonNull(prompt);
            if (!VALID.matcher(id).matches()) {
                throw new IllegalArgumentException("invalid group id: " + id);
            }
        }
    }
}
