package org.magnoliabridge.cli;

/** The exit codes of the command line. */
public enum ExitCode {
    /** The command did what was asked. */
    OK(0),
    /** A fault of the program. */
    UNEXPECTED(1),
    /** The arguments are wrong. */
    USAGE(2),
    /** A file or value is invalid; every invalid field is named. */
    INVALID_INPUT(3),
    /** Another operator was first, or the thing exists already; nothing was changed. */
    CONFLICT(4),
    /** The platform or every node that was asked is unavailable; the outcome of a write may be unknown. */
    UNAVAILABLE(5),
    /** The change is accepted but not yet confirmed by every live member. */
    PENDING(6);

    private final int code;

    ExitCode(int code) {
        this.code = code;
    }

    /** Returns the code that the process exits with. */
    public int code() {
        return code;
    }
}
