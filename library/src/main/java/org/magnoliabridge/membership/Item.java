package org.magnoliabridge.membership;

import java.util.List;
import java.util.Objects;

/**
 * A versioned value that is disseminated to all members; a higher version replaces a lower one.
 *
 * <p>The {@link #PINNED} items are large: pings carry only their versions, and a member with an older version requests
 * them. All other items are small and are sent inside pings.
 *
 * @param payload not copied, callers must not change it
 */
@SuppressWarnings("ArrayRecordComponent")
public record Item(String name, long version, byte[] payload) {
    /** Name of the accepted bundle. */
    public static final String BUNDLE = "bundle";

    /** Name of the withdrawals. */
    public static final String WITHDRAWALS = "withdrawals";

    /** The items whose versions every ping carries, in this order. */
    public static final List<String> PINNED = List.of(BUNDLE, WITHDRAWALS);

    /** Largest payload of an item that is not pinned, in bytes. */
    public static final int MAX_SMALL_BYTES = 256;

    public Item {
        Objects.requireNonNull(name);
        Objects.requireNonNull(payload);
        if (!PINNED.contains(name) && payload.length > MAX_SMALL_BYTES) {
            throw new IllegalArgumentException(
                    "item " + name + " has " + payload.length + " bytes, expected at most " + MAX_SMALL_BYTES);
        }
    }
}
