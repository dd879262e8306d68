package org.magnoliabridge.batch;

import java.util.Objects;
import java.util.Optional;
import org.magnoliabridge.gateway.BatchTerms;
import org.magnoliabridge.ids.BatchId;
import org.magnoliabridge.ids.ModelId;
import org.magnoliabridge.ids.RouteId;
import org.magnoliabridge.ids.TeamId;
import org.magnoliabridge.ids.WeightVersion;

/**
 * The record that decides that a batch is accepted.
 *
 * @param host the host under which it was submitted
 * @param model the model whose weights generate the items, if the batch names it
 * @param minVersion oldest weights that may generate its tokens
 * @param wantedGroups number of complete groups after which its trainer goes on
 * @param maxAttempts failed runs after which an item is given up
 * @param submittedAtMs wall-clock time of the first submission, in milliseconds since the epoch
 * @param items number of items
 * @param parts number of objects that hold the items
 * @param ended whether its trainer has ended it
 */
public record BatchHead(
        BatchId id,
        TeamId team,
        RouteId route,
        String host,
        Optional<ModelId> model,
        Optional<WeightVersion> minVersion,
        int wantedGroups,
        BatchTerms terms,
        int maxAttempts,
        long submittedAtMs,
        int items,
        int parts,
        boolean ended) {
    public BatchHead {
        Objects.requireNonNull(id);
        Objects.requireNonNull(team);
        Objects.requireNonNull(route);
        Objects.requireNonNull(host);
        Objects.requireNonNull(model);
        Objects.requireNonNull(minVersion);
        Objects.requireNonNull(terms);
        if (items < 1 || parts < 1 || maxAttempts < 1) {
            throw new IllegalArgumentException("a batch has items, parts and attempts");
        }
    }

    /** Returns the head with the number of objects that hold the items. */
    BatchHead withParts(int number) {
        return copy(number, ended);
    }

    /** Returns the head of the batch after its end. */
    public BatchHead end() {
        return copy(parts, true);
    }

    private BatchHead copy(int newParts, boolean newEnded) {
        return new BatchHead(
                id,
                team,
                route,
                host,
                model,
                minVersion,
                wantedGroups,
                terms,
                maxAttempts,
                submittedAtMs,
                items,
                newParts,
                newEnded);
    }

    /** Returns the wall-clock time at which items without a result are given up. */
    public long giveUpAtMs() {
        return submittedAtMs + terms.giveUpMs();
    }

    /** Returns whether a text that these weights produced may be a result. */
    public boolean accepts(WeightVersion version) {
        return minVersion.map(oldest -> !oldest.isAfter(version)).orElse(true);
    }
}
