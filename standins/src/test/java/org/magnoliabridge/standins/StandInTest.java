package org.magnoliabridge.standins;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.magnoliabridge.core.CloseFailedException;
import org.magnoliabridge.core.Closer;

/** What the tests of stand-ins share. */
class StandInTest {
    static final InetSocketAddress ANY_PORT = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    static final long LIMIT_MS = 10_000;

    final Closer closer = new Closer();
    final JsonClient client = closer.register(new JsonClient(LIMIT_MS));

    @AfterEach
    void closeAll() throws CloseFailedException {
        closer.close();
    }

    int status(StandIn to, String method, String path, String body) throws IOException, InterruptedException {
        return client.call(method, to.address(), path, Map.of(), body).status();
    }

    JsonNode json(StandIn from, String path) throws IOException, InterruptedException {
        return client.get(from.address(), path).json();
    }
}
