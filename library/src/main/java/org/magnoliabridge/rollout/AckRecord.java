package org.magnoliabridge.rollout;

/**
 * An acknowledgement that moved the cursor.
 *
 * @param from the cursor before it
 * @param cursor the cursor after it
 * @param token unique to the request that wrote it
 */
public record AckRecord(long from, long cursor, String token) {}
