package org.magnoliabridge.external;

import java.util.List;

/** The platform's interface for starting and stopping endpoints; calls block. */
public interface EndpointOrders {
    /**
     * Orders the desired state of an endpoint.
     *
     * @param orderId identifies the order in the platform's records
     * @throws PlatformException.Superseded if a higher fencing token has been seen
     */
    void order(EndpointOrder order, String orderId, CallPermit permit) throws PlatformException;

    /** Returns the last desired state of every endpoint that was ordered and that the platform still knows. */
    List<EndpointOrder> list() throws PlatformException;
}
