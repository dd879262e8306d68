package org.magnoliabridge.orders;

import org.magnoliabridge.external.EndpointTotals.Total;
import org.magnoliabridge.ids.FencingToken;

/** Actions that the caller of {@link TotalsCore} carries out. */
public sealed interface TotalsEffect {
    /**
     * Order the total number of endpoints at a place: a service, a data centre and a kind of endpoint.
     *
     * @param serving number of endpoints that were serving at the place when the total was decided
     * @param fencing the fencing token to send with the order
     */
    record Send(Total total, int serving, FencingToken fencing) implements TotalsEffect {}
}
