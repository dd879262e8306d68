package org.magnoliabridge.external;

import java.util.Objects;
import org.magnoliabridge.external.EndpointOrder.Kind;
import org.magnoliabridge.ids.DataCentre;
import org.magnoliabridge.ids.ServiceId;

/** The platform's interface for setting the number of a service's endpoints in a data centre; calls block. */
public interface EndpointTotals {
    /**
     * Orders a total; repeating an order is harmless.
     *
     * @throws PlatformException.Rejected if the platform has no endpoints of that kind there now
     */
    void order(Total total, CallPermit permit) throws PlatformException;

    /** The service, data centre and kind of endpoint that a total counts. */
    record Place(ServiceId service, DataCentre dc, Kind kind) {
        public Place {
            Objects.requireNonNull(service);
            Objects.requireNonNull(dc);
            Objects.requireNonNull(kind);
        }
    }

    /** The desired number of endpoints at a place. */
    record Total(Place place, int endpoints) {
        public Total {
            Objects.requireNonNull(place);
            if (endpoints < 0) {
                throw new IllegalArgumentException("a total must not be negative: " + endpoints);
            }
        }
    }
}
