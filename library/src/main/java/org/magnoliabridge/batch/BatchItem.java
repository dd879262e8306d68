package org.magnoliabridge.batch;

import java.util.Arrays;
import java.util.Map;
import java.util.Objects;
import java.util.regex.Pattern;
import org.magnoliabridge.ids.GroupId;
import org.magnoliabridge.ids.ItemId;

/**
 * One generation request of a batch.
 *
 * @param group items of a group share their prompt
 * @param path path that the item is posted to at an engine, with a leading slash and an optional query
 * @param headers request headers, sent unchanged
 * @param body request body; not copied
 * @param promptTokens tokens of the prompt
 * @param maxTotalTokens prompt tokens plus the largest number of output tokens
 * @param expectedTokens the trainer's estimate of the output tokens, which is often far off; 0 if it gives none
 */
@SuppressWarnings("ArrayRecordComponent")
public record BatchItem(
        ItemId id,
        GroupId group,
        String path,
        Map<String, String> headers,
        byte[] body,
        long promptTokens,
        long maxTotalTokens,
        long expectedTokens) {
    // A space or line break in a path or header would end it, and what follows would be sent as another request.
    private static final Pattern PATH = Pattern.compile("/[\\x21-\\x7e]*");
    private static final Pattern HEADER_NAME = Pattern.compile("[!#$%&'*+.^_`|~0-9A-Za-z-]+");
    private static final Pattern HEADER_VALUE = Pattern.compile("[\\t\\x20-\\x7e\\x80-\\xff]*");

    public BatchItem {
        Objects.requireNonNull(id);
        Objects.requireNonNull(group);
        Objects.requireNonNull(body);
        headers = Map.copyOf(headers);
        if (!PATH.matcher(path).matches()) {
            throw new IllegalArgumentException("path must start with a slash and hold visible ASCII only");
        }
        headers.forEach((name, value) -> {
            if (!HEADER_NAME.matcher(name).matches()
                    || !HEADER_VALUE.matcher(value).matches()) {
                throw new IllegalArgumentException("header name or value holds characters that HTTP does not allow");
            }
        });
    }

    /** Returns the number of tokens that the item is expected to hold in an engine's cache at its end. */
    long expectedTotalTokens() {
        return expectedTokens == 0 ? maxTotalTokens : Math.min(maxTotalTokens, promptTokens + expectedTokens);
    }

    /** Returns whether the other item asks for the same generation. */
    public boolean sameRequest(BatchItem other) {
        return id.equals(other.id)
                && path.equals(other.path)
                && headers.equals(other.headers)
                && Arrays.equals(body, other.body);
    }
}
