package org.magnoliabridge.rollout;

/**
 * An acknowledgement that moved the cursor.
 *
 * @param from the acknowledged cursor before it
 * @param cursor the acknowledged cursor after it
 * @param token unique to the request that wrote it
 */
public record AckRecord(long from, long cursor, String token) {}
