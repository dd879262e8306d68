package org.magnoliabridge.daemon;

import io.undertow.server.HttpHandler;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.magnoliabridge.batch.Engines;
import org.magnoliabridge.calls.StreamServiceClient;
import org.magnoliabridge.external.EndpointTotals;
import org.magnoliabridge.external.EngineOrders;
import org.magnoliabridge.external.EngineReports;
import org.magnoliabridge.external.ObjectKey;
import org.magnoliabridge.external.ObjectStore;
import org.magnoliabridge.external.PlatformException;
import org.magnoliabridge.external.UsageReports;
import org.magnoliabridge.fleet.FleetInput;
import org.magnoliabridge.gateway.GatewayConfig;
import org.magnoliabridge.ids.ModelId;
import org.magnoliabridge.ids.WeightVersion;

/** What an adapter brings: the clients of a platform, and the protocols of its callers and endpoints. */
public interface GatewayPlatform {
    /** Returns the platform's object store; its calls end within the limits of the adapter. */
    ObjectStore objects();

    /** Returns the prefix of the objects that hold the configuration. */
    String configPrefix();

    /** Returns the configuration in a listing, if there is one that can be read. */
    Optional<GatewayConfig> config(ObjectStore.Listing listing);

    /** Returns the prefix of the objects under which endpoints register. */
    String fleetPrefix();

    /** Returns the endpoints of a listing. */
    List<FleetInput.Entry> fleet(ObjectStore.Listing listing);

    /** Returns the prefix of the objects that name the newest weights. */
    String weightsPrefix();

    /** Returns the newest weights of a listing. */
    Map<ModelId, WeightVersion> weights(ObjectStore.Listing listing);

    /** Returns the prefix of the objects that ask for an instance with a disk to be emptied. */
    String retirementsPrefix();

    /** Says that the instance that a request names is empty. */
    void completeRetirement(ObjectKey request) throws PlatformException;

    /** Returns how engines are ordered to load weights. */
    EngineOrders engineOrders();

    /** Returns how engines are asked for their state. */
    EngineReports engineReports();

    /** Returns the interface that takes usage reports. */
    UsageReports usageReports();

    /** Returns the interface that takes orders of endpoints. */
    EndpointTotals endpointTotals();

    /** Returns how requests are put to endpoints. */
    StreamServiceClient services();

    /** Returns how items of batches are run at engines. */
    Engines engines();

    /** Returns the handler of the port for callers. */
    HttpHandler callers(GatewayServices services);

    /** Returns the handler of the port for readiness checks. */
    HttpHandler readiness(GatewayServices services);

    /** Returns the handler of the directory's port. */
    HttpHandler directory(GatewayServices services);
}
