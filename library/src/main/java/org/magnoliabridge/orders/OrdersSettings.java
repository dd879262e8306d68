package org.magnoliabridge.orders;

/**
 * Times and limits of endpoint orders.
 *
 * @param sendDeadlineMs total limit of one order, in milliseconds; at most the takeover wait of the lease
 * @param listPeriodMs how often the endpoint list is compared with what is wanted, in milliseconds
 * @param retryMs wait after a failed call, in milliseconds
 * @param maxBatch most orders recorded and sent together
 */
public record OrdersSettings(long sendDeadlineMs, long listPeriodMs, long retryMs, int maxBatch) {
    /** The figures of the design; the batch keeps an intents object far below the object API's limit. */
    public static final OrdersSettings DEFAULT = new OrdersSettings(2_000, 5_000, 500, 64);

    public OrdersSettings {
        if (sendDeadlineMs < 1 || listPeriodMs < 1 || retryMs < 1 || maxBatch < 1) {
            throw new IllegalArgumentException("times and limits must be at least 1");
        }
    }
}
