package org.magnoliabridge.external;

import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.OptionalLong;
import org.magnoliabridge.ids.EndpointId;
import org.magnoliabridge.ids.ModelId;
import org.magnoliabridge.ids.WeightVersion;

/** Orders to engines; calls block. */
public interface EngineOrders {
    /**
     * Orders an engine to load a weight version; an accepted order does not prove that the load succeeds.
     *
     * @throws PlatformException.Superseded if the engine has seen a higher fencing token
     */
    void loadVersion(Load load) throws PlatformException;

    /**
     * An order to load weights.
     *
     * @param engine the engine that is to load the weights
     * @param orderId identifies the order in records
     * @param expectedOrders number of orders that the engine has accepted so far, if known; the engine refuses the
     *     order if its own count differs, so that a delayed order does not undo a later one
     */
    record Load(
            EndpointId engine,
            InetSocketAddress address,
            String orderId,
            ModelId model,
            CallPermit permit,
            WeightVersion version,
            OptionalLong expectedOrders) {
        public Load {
            Objects.requireNonNull(engine);
            Objects.requireNonNull(address);
            Objects.requireNonNull(model);
            Objects.requireNonNull(permit);
        }
    }
}
