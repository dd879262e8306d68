package org.magnoliabridge.external;

import java.util.Map;
import java.util.Objects;
import org.magnoliabridge.ids.TeamId;
import org.magnoliabridge.ids.WindowId;

/** The platform's interface that accepts usage reports; calls block. */
public interface UsageReports {
    /**
     * Reports the figures of a window; a repeat of the same report is harmless.
     *
     * @throws PlatformException.Rejected with status 409 if other figures were reported for the window
     */
    void report(Report report) throws PlatformException;

    /**
     * The figures of a window.
     *
     * @param record the sealed record of the window; not copied
     * @param requests each team's requests in this window alone
     */
    @SuppressWarnings("ArrayRecordComponent")
    record Report(WindowId window, byte[] record, Map<TeamId, Long> requests, CallPermit permit) {
        public Report {
            Objects.requireNonNull(window);
            Objects.requireNonNull(record);
            requests = Map.copyOf(requests);
        }
    }
}
