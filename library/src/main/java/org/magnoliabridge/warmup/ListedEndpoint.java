package org.magnoliabridge.warmup;

import java.util.Objects;
import org.magnoliabridge.ids.DataCentre;
import org.magnoliabridge.ids.EndpointId;
import org.magnoliabridge.ids.Incarnation;
import org.magnoliabridge.ids.ServiceId;

/**
 * What the list of endpoints says about the start of an endpoint.
 *
 * @param warmUpMs how much longer it is cold according to its entry; 0 if the entry does not say that it is
 */
public record ListedEndpoint(
        EndpointId id, ServiceId service, DataCentre dataCentre, Incarnation incarnation, long warmUpMs) {
    public ListedEndpoint {
        Objects.requireNonNull(id);
        Objects.requireNonNull(service);
        Objects.requireNonNull(dataCentre);
        Objects.requireNonNull(incarnation);
    }
}
