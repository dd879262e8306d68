package org.magnoliabridge.settings;

import java.util.List;
import java.util.Map;

/** A parsed JSON value with its line number. */
sealed interface SettingsValue {
    int line();

    /** An object; fields keep their order. */
    record ObjectValue(int line, Map<String, SettingsValue> values) implements SettingsValue {}

    /** An array. */
    record ArrayValue(int line, List<SettingsValue> values) implements SettingsValue {}

    /** A string. */
    record StringValue(int line, String value) implements SettingsValue {}

    /** A whole number in the range of a long. */
    record LongValue(int line, long value) implements SettingsValue {}

    /** Any other number. */
    record DoubleValue(int line, double value) implements SettingsValue {}

    /** A boolean. */
    record BooleanValue(int line, boolean value) implements SettingsValue {}

    /** A null. */
    record NullValue(int line) implements SettingsValue {}
}
