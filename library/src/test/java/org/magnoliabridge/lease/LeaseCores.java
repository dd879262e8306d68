package org.magnoliabridge.lease;

import java.util.EnumSet;
import java.util.Set;
import org.magnoliabridge.external.ObjectKey;
import org.magnoliabridge.ids.Incarnation;
import org.magnoliabridge.ids.NodeId;

/** Creates lease cores with one mechanism disabled, for tests of other packages. */
public final class LeaseCores {
    private LeaseCores() {}

    /** Returns a core without the named mechanism; a name of anything but a lease mechanism disables nothing. */
    public static LeaseCore without(
            String mechanism, ObjectKey key, NodeId self, Incarnation incarnation, long startedMs) {
        Set<LeaseMechanism> disabled = EnumSet.allOf(LeaseMechanism.class);
        disabled.removeIf(m -> !("lease " + m).equals(mechanism));
        return new LeaseCore(key, self, incarnation, LeaseSettings.DEFAULT, startedMs, disabled);
    }
}
