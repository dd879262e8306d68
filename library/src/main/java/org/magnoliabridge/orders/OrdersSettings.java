package org.magnoliabridge.orders;

/**
 * Timeouts and limits of endpoint orders.
 *
 * @param sendDeadlineMs time limit of a whole order call, in milliseconds; at most the takeover wait of the lease
 * @param listPeriodMs interval at which the endpoint list is compared with the desired states, in milliseconds
 * @param retryMs wait after a failed call, in milliseconds
 * @param maxBatch maximum number of orders that are recorded and sent together
 */
public record OrdersSettings(long sendDeadlineMs, long listPeriodMs, long retryMs, int maxBatch) {
    /** Default values; a batch of 64 keeps the intents object far below the size limit of the object API. */
    public static final OrdersSettings DEFAULT = new OrdersSettings(2_000, 5_000, 500, 64);

    public OrdersSettings {
        if (sendDeadlineMs < 1 || listPeriodMs < 1 || retryMs < 1 || maxBatch < 1) {
            throw new IllegalArgumentException("sendDeadlineMs, listPeriodMs, retryMs and maxBatch must be at least 1");
        }
    }
}
