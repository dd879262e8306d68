package org.magnoliabridge.bundle;

import java.util.Objects;
import org.magnoliabridge.settings.SettingsException;
import org.magnoliabridge.settings.SettingsException.Kind;

/**
 * One fault in a bundle.
 *
 * @param field path of the field, for example {@code teams[2].weight}; empty for the document as a whole
 * @param detail what was expected; holds no secret
 */
public record BundleProblem(Kind kind, String field, String detail) {
    public BundleProblem {
        Objects.requireNonNull(kind);
        Objects.requireNonNull(field);
        Objects.requireNonNull(detail);
    }

    static BundleProblem of(SettingsException.Problem problem) {
        return new BundleProblem(
                problem.kind(), problem.field(), "line " + problem.line() + ": expected " + problem.expected());
    }

    @Override
    public String toString() {
        return kind + (field.isEmpty() ? "" : " " + field) + ": " + detail;
    }
}
