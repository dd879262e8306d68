package org.magnoliabridge.orders;

import java.util.ArrayList;
import java.util.List;

/** A fault that is injected at one effect of the simulation; its duration is 0 if it has none. */
record Fault(Kind kind, long durationMs) {
    enum Kind {
        CRASH_BEFORE,
        CRASH_AFTER,
        REPLY_LOST,
        REPLY_DELAYED,
        REQUEST_DELAYED,
        DUPLICATE,
        PAUSED_BEFORE_LAST_CHECK,
        PAUSED_AFTER_LAST_CHECK,
        SILENT
    }

    /** Returns all faults of the matrix; 14 s outlasts the lease, 4.9 s is just below margin plus takeover wait. */
    static List<Fault> all() {
        List<Fault> faults = new ArrayList<>();
        faults.add(new Fault(Kind.CRASH_BEFORE, 0));
        faults.add(new Fault(Kind.CRASH_AFTER, 0));
        faults.add(new Fault(Kind.REPLY_LOST, 0));
        faults.add(new Fault(Kind.REPLY_DELAYED, 1_500));
        faults.add(new Fault(Kind.REPLY_DELAYED, 14_000));
        faults.add(new Fault(Kind.REQUEST_DELAYED, 1_900));
        faults.add(new Fault(Kind.DUPLICATE, 1_000));
        faults.add(new Fault(Kind.PAUSED_BEFORE_LAST_CHECK, 4_900));
        faults.add(new Fault(Kind.PAUSED_BEFORE_LAST_CHECK, 14_000));
        faults.add(new Fault(Kind.PAUSED_AFTER_LAST_CHECK, 4_900));
        faults.add(new Fault(Kind.PAUSED_AFTER_LAST_CHECK, 14_000));
        faults.add(new Fault(Kind.SILENT, 0));
        faults.add(new Fault(Kind.SILENT, 14_000));
        return faults;
    }
}
