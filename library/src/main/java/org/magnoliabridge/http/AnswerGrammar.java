package org.magnoliabridge.http;

import java.io.IOException;
import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The lines of an answer by RFC 9110, section 5, and RFC 9112, sections 2 to 7, without their line ends. */
final class AnswerGrammar {
    // HTAB, SP, VCHAR and obs-text.
    private static final String TEXT = "[\\t\\x20-\\x7e\\x80-\\xff]*";
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.([01]) ([1-5][0-9]{2}) " + TEXT);
    private static final Pattern FIELD_LINE = Pattern.compile("([!#$%&'*+.^_`|~0-9A-Za-z-]+):(" + TEXT + ")");
    private static final Pattern LENGTH = Pattern.compile("0*([0-9]{1,18})");
    private static final Pattern CHUNK_LINE = Pattern.compile("0*([0-9A-Fa-f]{1,15})(?:[ \\t]*;" + TEXT + ")?");
    private static final int HEX = 16;

    private AnswerGrammar() {}

    /** A status line; the minor version is that of HTTP/1. */
    record StatusLine(int minorVersion, int status) {}

    /** A field line, with its name in lower case and its value without the blanks around it. */
    record FieldLine(String name, String value) {}

    static StatusLine statusLine(String line) throws IOException {
        Matcher matcher = match(STATUS_LINE, line, "a status line of HTTP/1");
        return new StatusLine(Integer.parseInt(matcher.group(1)), Integer.parseInt(matcher.group(2)));
    }

    static FieldLine fieldLine(String line) throws IOException {
        Matcher matcher = match(FIELD_LINE, line, "a field line");
        return new FieldLine(matcher.group(1).toLowerCase(Locale.ROOT), strip(matcher.group(2)));
    }

    /** Returns the value of a Content-Length field, in bytes. */
    static long length(String value) throws IOException {
        return Long.parseLong(match(LENGTH, value, "a length in digits").group(1));
    }

    /** Returns the size of a chunk, in bytes. */
    static long chunkSize(String line) throws IOException {
        return Long.parseLong(match(CHUNK_LINE, line, "the size of a chunk").group(1), HEX);
    }

    /** Returns whether a line is the size of a chunk. */
    static boolean isChunkSize(CharSequence line) {
        return CHUNK_LINE.matcher(line).matches();
    }

    /** Returns whether a field whose value is a list has an element, whatever its case. */
    static boolean hasElement(String list, String element) {
        for (String found : list.split(",", -1)) {
            if (strip(found).equalsIgnoreCase(element)) {
                return true;
            }
        }
        return false;
    }

    private static Matcher match(Pattern pattern, String text, String expected) throws IOException {
        Matcher matcher = pattern.matcher(text);
        if (!matcher.matches()) {
            throw new IOException("malformed answer: expected " + expected + ", found " + quoted(text));
        }
        return matcher;
    }

    // The bytes of a faulty server must not spoil a log line.
    private static String quoted(String text) {
        int shown = Math.min(text.length(), 40);
        return '"' + text.substring(0, shown).replaceAll("[^\\x20-\\x7e]", "?") + '"';
    }

    private static String strip(String value) {
        int start = 0;
        int end = value.length();
        while (start < end && isBlank(value.charAt(start))) {
            start++;
        }
        while (start < end && isBlank(value.charAt(end - 1))) {
            end--;
        }
        return value.substring(start, end);
    }

    private static boolean isBlank(char c) {
        return c == ' ' || c == '\t';
    }
}
