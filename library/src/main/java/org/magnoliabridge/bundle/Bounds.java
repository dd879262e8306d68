package org.magnoliabridge.bundle;

/**
 * Limits that hold on every node.
 *
 * @param maxBodyBytes largest request body in bytes
 * @param maxStaleness largest {@code max_staleness} that a rollout step may ask for, in weight versions
 * @param engineSlots most calls in flight from one node to one engine
 */
public record Bounds(int maxBodyBytes, int maxStaleness, int engineSlots) {}
