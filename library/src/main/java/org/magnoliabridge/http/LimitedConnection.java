package org.magnoliabridge.http;

import io.undertow.client.ClientConnection;
import java.io.Closeable;
import java.io.IOException;

/** A connection and the limit of what it receives without a head or content. */
record LimitedConnection(ClientConnection client, FramingLimit limit) implements Closeable {
    boolean isOpen() {
        return client.isOpen();
    }

    @Override
    public void close() throws IOException {
        client.close();
    }
}
