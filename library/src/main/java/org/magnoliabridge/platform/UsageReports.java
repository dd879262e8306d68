package org.magnoliabridge.platform;

import org.magnoliabridge.ids.WindowId;

/** The platform's interface that accepts usage reports; calls block. */
public interface UsageReports {
    /**
     * Reports the figures of a window; a repeat with the same bytes is harmless.
     *
     * @throws PlatformException.Rejected with status 409 if other figures were reported for the window
     */
    void report(WindowId window, byte[] figures) throws PlatformException;
}
