package org.magnoliabridge.batch;

import java.util.List;
import java.util.Objects;

/**
 * A segment of the result log: results that were appended together, and texts in progress.
 *
 * @param writer identifies the append, unique over all runners
 * @param results in the order of their positions
 * @param texts events added to the writer's texts in progress since its last segment
 * @param claim whether the writer claims the texts in progress of the previous runner
 */
public record ResultSegment(Writer writer, List<ItemResult> results, List<PartialText> texts, boolean claim) {
    /**
     * Identifies an append.
     *
     * @param process identifies the process, unique over all starts of all nodes
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
