package org.magnoliabridge.batch;

import java.util.List;
import java.util.Objects;

/**
 * Results that were appended to a log together.
 *
 * @param writer token of the append, unique over all runners
 */
public record ResultSegment(String writer, List<ItemResult> results) {
    public ResultSegment {
        Objects.requireNonNull(writer);
        results = List.copyOf(results);
    }
}
