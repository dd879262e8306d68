package org.magnoliabridge.edge;

import java.util.List;
import java.util.regex.Pattern;
import org.magnoliabridge.calls.CallException;
import org.magnoliabridge.calls.Failure;

/**
 * Accepts only paths that every HTTP server interprets identically.
 *
 * <p>Routes of the bundle match the raw path. A back end that resolves {@code ..}, an encoded slash or path parameters
 * would otherwise serve another path than the one that was checked, for example one that needs a key.
 */
final class SafePath {
    private static final Pattern ALLOWED = Pattern.compile("(/([A-Za-z0-9._~!$&'()*+,=:@-]|%[0-9A-Fa-f]{2})*)+");
    private static final Pattern ENCODED_SYNTAX = Pattern.compile("%(2[efEF3]|25|5[cC]|3[bBfF]|[01][0-9A-Fa-f]|7[fF])");

    private SafePath() {}

    static void check(String path) throws CallException {
        boolean safe = ALLOWED.matcher(path).matches()
                && !ENCODED_SYNTAX.matcher(path).find()
                && !path.contains("//")
                && segments(path).stream().noneMatch(s -> s.equals(".") || s.equals(".."));
        if (!safe) {
            throw CallException.notRun(new Failure.MalformedRequest("the path is not in plain form"));
        }
    }

    /** Returns the path segments between slashes. */
    static List<String> segments(String path) {
        return List.of(path.substring(1).split("/", -1));
    }
}
