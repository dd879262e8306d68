package org.magnoliabridge.sim;

/** A fault that the simulation injects into one effect of a core. */
public enum Fault {
    CRASH_BEFORE,
    CRASH_AFTER,
    REPLY_LOST,
    REPLY_DELAYED,
    /** The client times out, and the request takes effect later. */
    EFFECT_LATE,
    DUPLICATE,
    /** The process is paused between deciding on the effect and carrying it out. */
    PAUSE,
    /** The request is lost, and the client gets neither an answer nor an error. */
    SILENT
}
