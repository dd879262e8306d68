package org.magnoliabridge.external;

import org.magnoliabridge.ids.ServiceId;
import org.magnoliabridge.ids.WeightVersion;

/** The rate-limited store of model weights; calls block. */
public interface WeightStore {
    /** Returns the newest version of a service's weights. */
    WeightVersion newest(ServiceId service) throws PlatformException;

    /**
     * Takes a permit for one engine to load a version.
     *
     * @throws PlatformException.RateLimited if the store's rate limit is reached
     */
    void permitLoad(ServiceId service, WeightVersion version) throws PlatformException;
}
