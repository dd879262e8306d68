package org.magnoliabridge.http;

import io.undertow.client.ClientConnection;
import java.io.Closeable;
import java.io.IOException;

/**
 * A connection and the limit of what it receives without a head or content.
 *
 * @param reused whether the connection has served an earlier call
 */
record LimitedConnection(ClientConnection client, FramingLimit limit, boolean reused) implements Closeable {
    /** Returns this connection for its next call. */
    LimitedConnection forReuse() {
        return new LimitedConnection(client, limit, true);
    }

    boolean isOpen() {
        return client.isOpen();
    }

    @Override
    public void close() throws IOException {
        client.close();
    }
}
