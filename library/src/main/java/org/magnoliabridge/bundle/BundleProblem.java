package org.magnoliabridge.bundle;

import java.util.Objects;

/**
 * One fault in a bundle.
 *
 * @param field path of the field, for example {@code teams[2].weight}
 * @param detail what was found and what was expected; holds no secret
 */
public record BundleProblem(Kind kind, String field, String detail) {
    public BundleProblem {
        Objects.requireNonNull(kind);
        Objects.requireNonNull(field);
        Objects.requireNonNull(detail);
    }

    @Override
    public String toString() {
        return field + ": " + detail;
    }

    /** What is wrong. */
    public enum Kind {
        MALFORMED,
        MISSING_FIELD,
        UNKNOWN_FIELD,
        WRONG_TYPE,
        OUT_OF_RANGE,
        INVALID_VALUE,
        DUPLICATE,
        DANGLING_REFERENCE
    }
}
