package org.magnoliabridge.batch;

import java.util.Objects;
import org.magnoliabridge.ids.ItemId;
import org.magnoliabridge.routing.Endpoint;

/**
 * One call for the score of an item's text.
 *
 * @param silenceMs maximum time without an answer
 * @param limitMs time until the item is given up; the same point in time for every call of the item
 */
public record ScoreCall(
        ScoreCallId id,
        BatchHead batch,
        ItemId item,
        ScoreRequest request,
        Endpoint endpoint,
        long silenceMs,
        long limitMs) {
    public ScoreCall {
        Objects.requireNonNull(id);
        Objects.requireNonNull(batch);
        Objects.requireNonNull(item);
        Objects.requireNonNull(request);
        Objects.requireNonNull(endpoint);
        if (silenceMs < 1 || limitMs < 1) {
            throw new IllegalArgumentException(
                    "silenceMs and limitMs must be at least 1, got " + silenceMs + " and " + limitMs);
        }
    }
}
