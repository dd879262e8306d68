package org.magnoliabridge.calls;

import java.util.Set;
import org.magnoliabridge.ids.WeightVersion;

/**
 * An engine's report of its own load; may be out of date.
 *
 * @param running number of requests in the engine's current batch
 * @param waiting number of requests that the engine has admitted but not started
 * @param version weight version in use
 * @param cachedPrefixes hashes of the prompt prefixes in the engine's cache; may be incomplete
 */
public record LoadReport(int running, int waiting, WeightVersion version, Set<String> cachedPrefixes) {
    public LoadReport {
        cachedPrefixes = Set.copyOf(cachedPrefixes);
    }
}
