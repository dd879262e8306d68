package org.magnoliabridge.cli;

import java.util.List;

/** Thrown when a command could not do what was asked. */
final class CommandException extends Exception {
    /**
     * One invalid field.
     *
     * @param field its path; empty for the text as a whole
     */
    record Problem(String field, String detail) {}

    private final ExitCode code;
    private final transient List<Problem> problems;

    CommandException(ExitCode code, String message, List<Problem> problems) {
        super(message);
        this.code = code;
        this.problems = List.copyOf(problems);
    }

    CommandException(ExitCode code, String message) {
        this(code, message, List.of());
    }

    static CommandException invalid(String field, String detail) {
        return new CommandException(ExitCode.INVALID_INPUT, "invalid input", List.of(new Problem(field, detail)));
    }

    ExitCode code() {
        return code;
    }

    List<Problem> problems() {
        return problems;
    }
}
