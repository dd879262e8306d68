package org.magnoliabridge.ids;

/** Thrown when text from outside is not a valid id. */
public final class InvalidIdException extends Exception {
    private static final int MAX_QUOTED_CHARS = 40;

    private final String type;

    InvalidIdException(String type, String text) {
        super(describe(type, text));
        this.type = type;
    }

    /** Returns the simple name of the id type. */
    public String type() {
        return type;
    }

    static String describe(String type, String text) {
        if (text == null) {
            return type + " is missing";
        }
        String quoted = text.length() > MAX_QUOTED_CHARS ? text.substring(0, MAX_QUOTED_CHARS) + "..." : text;
        String printable = quoted.replaceAll("\\p{Cntrl}", "?");
        return type + " '" + printable + "' must have 1 to 128 letters, digits, dots, underscores or hyphens";
    }
}
