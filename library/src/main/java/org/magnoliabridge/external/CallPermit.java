package org.magnoliabridge.external;

import org.magnoliabridge.ids.FencingToken;

/** Permission to make one call under a lease; closed when the call has ended. */
public interface CallPermit extends AutoCloseable {
    /** Returns the fencing token to send with the call. */
    FencingToken fencing();

    /** Returns whether the call may still be sent; asked again directly before the request is written. */
    boolean isValid();

    @Override
    void close();
}
