package org.magnoliabridge.routing;

import java.net.InetSocketAddress;
import java.util.Objects;
import org.magnoliabridge.ids.DataCentre;
import org.magnoliabridge.ids.EndpointId;
import org.magnoliabridge.ids.ServiceId;
import org.magnoliabridge.settings.SocketAddresses;

/**
 * One incarnation of an endpoint.
 *
 * @param address IP address and port; together with the id it tells incarnations apart, because the instance list has
 *     no incarnation number
 */
public record Endpoint(EndpointId id, ServiceId service, DataCentre dataCentre, String address) {
    public Endpoint {
        Objects.requireNonNull(id);
        Objects.requireNonNull(service);
        Objects.requireNonNull(dataCentre);
        if (SocketAddresses.parse(address).isEmpty()) {
            throw new IllegalArgumentException("address must be an IP address with a port: " + address);
        }
    }

    /** Returns the address to connect to. */
    InetSocketAddress socketAddress() {
        return SocketAddresses.parse(address).orElseThrow();
    }
}
