package org.magnoliabridge.lease;

/** Mechanisms that prevent two simultaneous holders. A test disables one to show that its checker finds violations. */
enum LeaseMechanism {
    /** The holder stops sending some time before the lease expires on its own clock. */
    MARGIN,
    /** The fencing token increases with every new holder. */
    FENCING,
    /** The outcome of a write whose reply was lost is determined by reading the lease back. */
    READ_BACK,
    /** A new holder waits before its first order. */
    TAKEOVER_WAIT,
    /** A process that acquires the lease after another process held it waits if it held it shortly before. */
    RETURN_WAIT
}
