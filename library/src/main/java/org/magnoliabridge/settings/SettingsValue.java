package org.magnoliabridge.settings;

import java.util.List;
import java.util.Map;

/** A parsed JSON value with the line it stands on. */
sealed interface SettingsValue {
    int line();

    /** An object; fields keep their order. */
    record Fields(int line, Map<String, SettingsValue> values) implements SettingsValue {}

    /** An array. */
    record Items(int line, List<SettingsValue> values) implements SettingsValue {}

    /** A string. */
    record Text(int line, String value) implements SettingsValue {}

    /** A whole number that fits a long. */
    record Whole(int line, long value) implements SettingsValue {}

    /** Any other number. */
    record Real(int line, double value) implements SettingsValue {}

    /** A boolean. */
    record Flag(int line, boolean value) implements SettingsValue {}

    /** A null. */
    record Null(int line) implements SettingsValue {}
}
