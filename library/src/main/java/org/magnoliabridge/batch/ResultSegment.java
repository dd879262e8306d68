package org.magnoliabridge.batch;

import java.util.List;
import java.util.Objects;

/**
 * Results that were appended to a log together, and texts in progress.
 *
 * @param writer token of the append, unique over all runners
 * @param results in the order of their positions
 * @param texts what the writer's texts in progress have gained since its last segment
 * @param claim whether the writer takes the texts in progress over from the one before
 */
public record ResultSegment(Writer writer, List<ItemResult> results, List<PartialText> texts, boolean claim) {
    /**
     * Names an append.
     *
     * @param process unique over all starts of all nodes
     * @param number of the segment
     */
    public record Writer(String process, int number) {
        public Writer {
            Objects.requireNonNull(process);
        }
    }

    public ResultSegment {
        Objects.requireNonNull(writer);
        results = List.copyOf(results);
        texts = List.copyOf(texts);
    }

    /** Returns a segment of results only. */
    public static ResultSegment of(String process, int number, List<ItemResult> results) {
        return new ResultSegment(new Writer(process, number), results, List.of(), false);
    }
}
