package org.magnoliabridge.standins;

import java.util.ArrayList;
import java.util.List;

/** What the checker found for one invariant. */
final class Verdict {
    private static final int MAX_NAMED = 5;

    private final String invariant;
    private final String unit;
    private final List<String> violations = new ArrayList<>();
    private long exercised;
    private String note = "";

    /** Creates a verdict; the unit says what is counted, in the plural. */
    Verdict(String invariant, String unit) {
        this.invariant = invariant;
        this.unit = unit;
    }

    /** Counts one thing that was checked and notes it if it is wrong. */
    void check(boolean holds, String violation) {
        exercised++;
        if (!holds) {
            violations.add(violation);
        }
    }

    /** Adds a figure that is no verdict. */
    void note(String text) {
        note = note.isEmpty() ? text : note + ", " + text;
    }

    long exercised() {
        return exercised;
    }

    List<String> violations() {
        return List.copyOf(violations);
    }

    boolean isViolated() {
        return !violations.isEmpty();
    }

    /** Returns the line to print, with the first violations below it. */
    String text() {
        String state = isViolated() ? "violated" : exercised == 0 ? "not exercised" : "held";
        StringBuilder text = new StringBuilder(invariant)
                .append(' ')
                .append(state)
                .append(": ")
                .append(exercised)
                .append(' ')
                .append(unit);
        if (isViolated()) {
            text.append(", ").append(violations.size()).append(" wrong");
        }
        if (!note.isEmpty()) {
            text.append(" (").append(note).append(')');
        }
        violations.stream()
                .limit(MAX_NAMED)
                .forEach(line -> text.append("\n    ").append(line));
        return text.toString();
    }
}
