package org.magnoliabridge.settings;

import java.util.List;
import java.util.Objects;
import java.util.stream.Collectors;

/** Thrown when a settings text is invalid; contains every problem found. */
public final class SettingsException extends Exception {
    private final transient List<Problem> problems;

    public SettingsException(List<Problem> problems) {
        super(problems.stream().map(Problem::toString).collect(Collectors.joining("; ")));
        this.problems = List.copyOf(problems);
    }

    /** Returns the problems in order of their lines. */
    public List<Problem> problems() {
        return problems;
    }

    /**
     * One problem.
     *
     * @param kind what is wrong
     * @param field the path of the field, for example {@code teams[2].weight}; empty for the text as a whole
     * @param line the line, from 1
     * @param expected what would be valid
     */
    public record Problem(Kind kind, String field, int line, String expected) {
        public Problem {
            Objects.requireNonNull(kind);
            Objects.requireNonNull(field);
            Objects.requireNonNull(expected);
        }

        @Override
        public String toString() {
            String where = field.isEmpty() ? "line " + line : "line " + line + ", field " + field;
            return where + ": " + kind.text + ", expected " + expected;
        }
    }

    /** What is wrong with a field. */
    public enum Kind {
        MALFORMED("malformed JSON"),
        MISSING("missing"),
        UNKNOWN("unknown field"),
        WRONG_TYPE("wrong type"),
        OUT_OF_RANGE("out of range"),
        DUPLICATE("duplicate"),
        DANGLING("refers to something that is not defined"),
        INVALID("invalid value");

        private final String text;

        Kind(String text) {
            this.text = text;
        }
    }
}
