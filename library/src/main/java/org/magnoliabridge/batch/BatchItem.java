package org.magnoliabridge.batch;

import java.util.Arrays;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.magnoliabridge.ids.GroupId;
import org.magnoliabridge.ids.ItemId;

/**
 * One generation request of a batch.
 *
 * @param group items of a group share their prompt
 * @param path path that the item is posted to at an engine, with a leading slash and an optional query
 * @param headers request headers, sent unchanged
 * @param body request body; not copied
 * @param promptTokens tokens of the prompt
 * @param maxTotalTokens prompt tokens plus the largest number of output tokens
 * @param expectedTokens the trainer's estimate of the output tokens, which is often far off; 0 if it gives none
 * @param scorer the request that scores the complete text, if the item needs a score
 */
@SuppressWarnings("ArrayRecordComponent")
public record BatchItem(
        ItemId id,
        GroupId group,
        String path,
        Map<String, String> headers,
        byte[] body,
        long promptTokens,
        long maxTotalTokens,
        long expectedTokens,
        Optional<ScoreRequest> scorer) {
    /** Creates an item that needs no score. */
    public BatchItem(
            ItemId id,
            GroupId group,
            String path,
            Map<String, String> headers,
            byte[] body,
            long promptTokens,
            long maxTotalTokens,
            long expectedTokens) {
        this(id, group, path, headers, body, promptTokens, maxTotalTokens, expectedTokens, Optional.empty());
    }

    public BatchItem {
        Objects.requireNonNull(id);
        Objects.requireNonNull(group);
        Objects.requireNonNull(body);
        Objects.requireNonNull(scorer);
        headers = Map.copyOf(headers);
        RequestText.requirePath(path);
        headers.forEach(RequestText::requireHeader);
    }

    /** Returns the number of tokens that the item is expected to hold in an engine's cache at its end. */
    long expectedTotalTokens() {
        return expectedTokens == 0 ? maxTotalTokens : Math.min(maxTotalTokens, promptTokens + expectedTokens);
    }

    /** Returns whether the other item asks for the same generation. */
    public boolean sameRequest(BatchItem other) {
        return id.equals(other.id)
                && path.equals(other.path)
                && headers.equals(other.headers)
                && Arrays.equals(body, other.body);
    }
}
