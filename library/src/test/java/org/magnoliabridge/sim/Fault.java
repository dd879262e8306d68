package org.magnoliabridge.sim;

/** What can happen to one effect of a core. */
public enum Fault {
    CRASH_BEFORE,
    CRASH_AFTER,
    REPLY_LOST,
    REPLY_DELAYED,
    /** The client gives up, and the request takes effect later. */
    EFFECT_LATE,
    DUPLICATE,
    /** The process stops between its decision and the effect. */
    PAUSE,
    /** Nothing arrives and no answer or error ever comes. */
    SILENT
}
