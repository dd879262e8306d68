package org.magnoliabridge.edge;

import java.util.List;
import java.util.Optional;
import org.magnoliabridge.ids.DataCentre;

/** Tells callers which node addresses to use; must not block. */
@FunctionalInterface
public interface AddressSource {
    /** Returns the addresses for a caller, the best first. */
    Addresses addresses(Optional<DataCentre> near, String callerIp);

    /** An answer; callers may keep it for {@code ttlMs} milliseconds. */
    record Addresses(List<NodeAddress> addresses, long ttlMs) {
        public Addresses {
            addresses = List.copyOf(addresses);
        }
    }

    /** A node's address for callers. */
    record NodeAddress(String address, DataCentre dataCentre, int weight) {}
}
