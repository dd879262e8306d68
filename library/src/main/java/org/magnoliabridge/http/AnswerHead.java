package org.magnoliabridge.http;

import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The head of a final answer.
 *
 * @param status the HTTP status
 * @param headers header names in lower case, with their first value
 * @param endsWithConnection whether only the end of the connection ends the content
 * @param persistent whether the server keeps the connection open after the answer
 */
record AnswerHead(int status, Map<String, String> headers, boolean endsWithConnection, boolean persistent) {
    private static final Pattern KEEP_ALIVE_TIMEOUT = Pattern.compile("timeout=(\\d{1,6})");

    AnswerHead {
        headers = Map.copyOf(headers);
    }

    /** Returns the same head of an answer whose connection is closed after it. */
    AnswerHead onClosingConnection() {
        return new AnswerHead(status, headers, endsWithConnection, false);
    }

    /** Returns how long the server keeps an idle connection open, in milliseconds, if it announces that. */
    OptionalLong idleLimitMs() {
        Matcher timeout = KEEP_ALIVE_TIMEOUT.matcher(headers.getOrDefault("keep-alive", ""));
        return timeout.find()
                ? OptionalLong.of(TimeUnit.SECONDS.toMillis(Long.parseLong(timeout.group(1))))
                : OptionalLong.empty();
    }
}
