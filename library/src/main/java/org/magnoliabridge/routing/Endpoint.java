package org.magnoliabridge.routing;

import java.net.InetSocketAddress;
import java.util.Objects;
import org.magnoliabridge.ids.DataCentre;
import org.magnoliabridge.ids.EndpointId;
import org.magnoliabridge.ids.Incarnation;
import org.magnoliabridge.ids.ServiceId;
import org.magnoliabridge.settings.SocketAddresses;

/**
 * One incarnation of an endpoint.
 *
 * @param address IP address and port
 * @param incarnation distinguishes restarts of an endpoint with the same id and address; 0 if the instance list does
 *     not number incarnations
 */
public record Endpoint(
        EndpointId id, ServiceId service, DataCentre dataCentre, String address, Incarnation incarnation) {
    /** Creates an endpoint from an instance list that does not number incarnations. */
    public Endpoint(EndpointId id, ServiceId service, DataCentre dataCentre, String address) {
        this(id, service, dataCentre, address, new Incarnation(0));
    }

    public Endpoint {
        Objects.requireNonNull(incarnation);
        Objects.requireNonNull(id);
        Objects.requireNonNull(service);
        Objects.requireNonNull(dataCentre);
        if (SocketAddresses.parse(address).filter(a -> a.getPort() > 0).isEmpty()) {
            throw new IllegalArgumentException("address must be an IP address with a port above 0: " + address);
        }
    }

    /** Returns the address to connect to. */
    public InetSocketAddress socketAddress() {
        return SocketAddresses.parse(address).orElseThrow();
    }
}
