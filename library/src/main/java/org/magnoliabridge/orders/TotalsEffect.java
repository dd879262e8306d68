package org.magnoliabridge.orders;

import org.magnoliabridge.external.EndpointTotals.Total;
import org.magnoliabridge.ids.FencingToken;

/** What {@link TotalsCore} asks its surroundings to do. */
public sealed interface TotalsEffect {
    /**
     * Order a total.
     *
     * @param serving endpoints that took work at the place when this was decided
     * @param notAfterMs the sender compares its clock with this moment directly before it writes to the connection, and
     *     reports {@link OrderOutcome#NOT_SENT} if it has passed
     */
    record Send(Total total, int serving, FencingToken fencing, long notAfterMs) implements TotalsEffect {}
}
