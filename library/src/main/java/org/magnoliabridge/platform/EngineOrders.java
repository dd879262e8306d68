package org.magnoliabridge.platform;

import java.net.InetSocketAddress;
import org.magnoliabridge.ids.FencingToken;
import org.magnoliabridge.ids.WeightVersion;

/** Orders to engines; calls block. */
public interface EngineOrders {
    /**
     * Orders an engine to load a weight version; an accepted order does not prove that the load succeeds.
     *
     * @throws PlatformException.Rejected with status 409 if the engine has seen a higher fencing token
     */
    void loadVersion(InetSocketAddress engine, String orderId, FencingToken fencing, WeightVersion version)
            throws PlatformException;
}
