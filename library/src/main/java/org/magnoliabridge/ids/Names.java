package org.magnoliabridge.ids;

import java.util.regex.Pattern;

/** Checks the text of ids; the pattern excludes separators, so an id is safe inside an object key or URL path. */
final class Names {
    private static final Pattern VALID = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,127}");

    private Names() {}

    static void require(String type, String text) {
        if (!isValid(text)) {
            throw new IllegalArgumentException(InvalidIdException.describe(type, text));
        }
    }

    static void check(String type, String text) throws InvalidIdException {
        if (!isValid(text)) {
            throw new InvalidIdException(type, text);
        }
    }

    private static boolean isValid(String text) {
        return text != null && VALID.matcher(text).matches() && !text.contains("..");
    }
}
