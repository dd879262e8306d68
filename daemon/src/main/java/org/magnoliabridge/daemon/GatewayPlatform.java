package org.magnoliabridge.daemon;

import io.undertow.server.HttpHandler;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import org.magnoliabridge.batch.Engines;
import org.magnoliabridge.batch.Scorers;
import org.magnoliabridge.calls.StreamServiceClient;
import org.magnoliabridge.evacuation.EvacuationInput;
import org.magnoliabridge.external.EndpointTotals;
import org.magnoliabridge.external.EngineOrders;
import org.magnoliabridge.external.EngineReports;
import org.magnoliabridge.external.ObjectKey;
import org.magnoliabridge.external.ObjectStore;
import org.magnoliabridge.external.PlatformException;
import org.magnoliabridge.external.UsageReports;
import org.magnoliabridge.fleet.FleetInput;
import org.magnoliabridge.gateway.GatewayConfig;
import org.magnoliabridge.ids.EndpointId;
import org.magnoliabridge.ids.ModelId;
import org.magnoliabridge.ids.WeightVersion;

/** A platform adapter: the clients of the platform, and the protocols of its callers and endpoints. */
public interface GatewayPlatform {
    /** Returns the platform's object store; its calls end within the limits of the adapter. */
    ObjectStore objects();

    /** Returns the prefix of the objects that hold the configuration. */
    String configPrefix();

    /** Returns the configuration in a listing, if there is a valid one. */
    Optional<GatewayConfig> config(ObjectStore.Listing listing);

    /** Returns the prefix of the objects that register endpoints. */
    String fleetPrefix();

    /** Returns the endpoints of a listing. */
    List<FleetInput.Entry> fleet(ObjectStore.Listing listing);

    /** Returns the prefix of the objects that request the evacuation of a data centre. */
    String evacuationsPrefix();

    /** Returns the entries of a listing that name a data centre; the others are logged and left out. */
    List<EvacuationInput.Entry> evacuations(ObjectStore.Listing listing);

    /** Returns the prefix of the objects that name the newest weight version of each model. */
    String weightsPrefix();

    /** Returns the newest weight version of each model in a listing. */
    Map<ModelId, WeightVersion> weights(ObjectStore.Listing listing);

    /** Returns the prefix of the objects that request the retirement of an instance with a disk. */
    String retirementsPrefix();

    /** Confirms to the platform that the instance named in a retirement request holds no data. */
    void completeRetirement(ObjectKey request) throws PlatformException;

    /** Returns the client that orders engines to load weights. */
    EngineOrders engineOrders();

    /** Returns the client that queries engines for their state. */
    EngineReports engineReports();

    /** Returns the client that submits usage reports. */
    UsageReports usageReports();

    /** Returns the longest time that an order or a usage report takes, in milliseconds. */
    long orderLimitMs();

    /** Returns the client that orders the total number of endpoints of a service in a data centre. */
    EndpointTotals endpointTotals();

    /**
     * Sets the listener for endpoints that say in an answer that they are leaving. It is called with the endpoint and
     * its address on the threads of the calls, and must not block.
     */
    void onLeaving(BiConsumer<EndpointId, InetSocketAddress> listener);

    /** Returns the client that sends requests to endpoints. */
    StreamServiceClient services();

    /** Returns the client that runs batch items at engines. */
    Engines engines();

    /** Returns the client that calls the services that score texts. */
    Scorers scorers();

    /** Returns the HTTP handler of the port for callers. */
    HttpHandler callers(GatewayServices node);

    /** Returns the HTTP handler of the port for readiness checks. */
    HttpHandler readiness(GatewayServices node);

    /** Returns the HTTP handler of the port for address queries. */
    HttpHandler directory(GatewayServices node);
}
