package org.magnoliabridge.external;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.magnoliabridge.ids.DataCentre;
import org.magnoliabridge.ids.ServiceId;

/** The platform's list of instances, which lags behind the actual state; calls block. */
public interface InstanceList {
    /** Returns the live and leaving instances as the platform last saw them. */
    List<Instance> list() throws PlatformException;

    /**
     * An instance.
     *
     * @param id node id or endpoint id, depending on the role
     * @param service the service of an endpoint, empty for a node
     * @param address host and port, separated by a colon
     */
    record Instance(String id, Role role, Optional<ServiceId> service, DataCentre dc, String address, boolean leaving) {
        public Instance {
            Objects.requireNonNull(id);
            Objects.requireNonNull(role);
            Objects.requireNonNull(service);
            Objects.requireNonNull(dc);
            Objects.requireNonNull(address);
        }
    }

    /** What an instance runs. */
    enum Role {
        NODE,
        ENDPOINT
    }
}
