package org.magnoliabridge.batch;

import java.util.regex.Pattern;

/**
 * Checks the parts of requests that a batch describes. A space or line break in a path or header would end it, and what
 * follows would be sent as another request.
 */
final class RequestText {
    private static final Pattern HOST = Pattern.compile("[A-Za-z0-9._-]+(:[0-9]{1,5})?");
    private static final Pattern PATH = Pattern.compile("/[\\x21-\\x7e]*");
    private static final Pattern HEADER_NAME = Pattern.compile("[!#$%&'*+.^_`|~0-9A-Za-z-]+");
    private static final Pattern HEADER_VALUE = Pattern.compile("[\\t\\x20-\\x7e\\x80-\\xff]*");

    private RequestText() {}

    static void requireHost(String host) {
        if (!HOST.matcher(host).matches()) {
            throw new IllegalArgumentException("host must be a name or IPv4 address with an optional port");
        }
    }

    static void requirePath(String path) {
        if (!PATH.matcher(path).matches()) {
            throw new IllegalArgumentException("path must start with a slash and hold visible ASCII only");
        }
    }

    static void requireHeader(String name, String value) {
        if (!HEADER_NAME.matcher(name).matches() || !HEADER_VALUE.matcher(value).matches()) {
            throw new IllegalArgumentException("header name or value holds characters that HTTP does not allow");
        }
    }
}
