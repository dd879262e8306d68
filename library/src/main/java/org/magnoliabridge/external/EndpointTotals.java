package org.magnoliabridge.external;

import java.util.Objects;
import org.magnoliabridge.external.EndpointOrder.Kind;
import org.magnoliabridge.ids.DataCentre;
import org.magnoliabridge.ids.FencingToken;
import org.magnoliabridge.ids.ServiceId;

/** A platform's interface that takes how many endpoints of a service run in a data centre; calls block. */
public interface EndpointTotals {
    /**
     * Orders a total; an order may be repeated.
     *
     * @throws PlatformException.Rejected if the platform has no endpoints of that kind there now
     */
    void order(Total total, FencingToken fencing) throws PlatformException;

    /** A service, a data centre and a kind of endpoint, which are counted together. */
    record Place(ServiceId service, DataCentre dc, Kind kind) {
        public Place {
            Objects.requireNonNull(service);
            Objects.requireNonNull(dc);
            Objects.requireNonNull(kind);
        }
    }

    /** The number of endpoints at a place. */
    record Total(Place place, int endpoints) {
        public Total {
            Objects.requireNonNull(place);
            if (endpoints < 0) {
                throw new IllegalArgumentException("a total must not be negative: " + endpoints);
            }
        }
    }
}
