package org.magnoliabridge.standins;

import java.net.InetSocketAddress;

/** A running stand-in for an outside system; usable inside a test and as a process of its own. */
public interface StandIn extends AutoCloseable {
    /** Returns the address it listens on. */
    InetSocketAddress address();

    @Override
    void close();
}
