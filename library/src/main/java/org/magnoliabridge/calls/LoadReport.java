package org.magnoliabridge.calls;

import java.util.Set;
import org.magnoliabridge.ids.WeightVersion;

/**
 * An engine's own view of its load; lags behind.
 *
 * @param running requests in its batch
 * @param waiting requests that it has admitted but not begun
 * @param version weights in use
 * @param cachedPrefixes hashes of the prompt prefixes in its cache; may have gaps
 */
public record LoadReport(int running, int waiting, WeightVersion version, Set<String> cachedPrefixes) {
    public LoadReport {
        cachedPrefixes = Set.copyOf(cachedPrefixes);
    }
}
