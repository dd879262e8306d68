package org.magnoliabridge.batch;

import java.util.Objects;
import org.magnoliabridge.ids.RequestId;

/**
 * The request that scores the text of an item: a POST to a plain service, made once the text is complete. It may be
 * sent more than once.
 *
 * @param id sent as the request's id
 * @param host host name that, with the path, selects the route of the request
 * @param path path that the request is posted to, with a leading slash and an optional query
 * @param body request body; not copied
 */
@SuppressWarnings("ArrayRecordComponent")
public record ScoreRequest(RequestId id, String host, String path, byte[] body) {
    public ScoreRequest {
        Objects.requireNonNull(id);
        Objects.requireNonNull(body);
        RequestText.requireHost(host);
        RequestText.requirePath(path);
    }

    /** Returns the path without its query. */
    public String rawPath() {
        int query = path.indexOf('?');
        return query < 0 ? path : path.substring(0, query);
    }
}
