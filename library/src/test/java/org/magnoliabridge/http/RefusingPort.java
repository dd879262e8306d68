package org.magnoliabridge.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;

/** A loopback port that refuses connections and that no other process can take meanwhile. */
public final class RefusingPort implements AutoCloseable {
    // A socket that is bound and does not listen keeps the port; a closed listener would free it for others.
    private final Socket socket = new Socket();

    public RefusingPort() throws IOException {
        socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    }

    /** Returns the address that refuses connections. */
    public InetSocketAddress address() {
        return new InetSocketAddress(socket.getLocalAddress(), socket.getLocalPort());
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
