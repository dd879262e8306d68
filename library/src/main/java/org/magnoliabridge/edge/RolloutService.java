package org.magnoliabridge.edge;

import java.util.List;
import org.magnoliabridge.calls.CallException;
import org.magnoliabridge.ids.RunId;
import org.magnoliabridge.ids.TeamId;
import org.magnoliabridge.ids.WeightVersion;

/** Runs the steps of trainers; blocks, so it is called from traffic threads. */
public interface RolloutService {
    /**
     * Opens a step, or confirms that it is open with the same content.
     *
     * @param spec the JSON body without the key
     * @return the step's number
     * @throws CallException if the step is not open now
     */
    long openStep(TeamId team, RunId run, byte[] spec, long deadlineMs) throws CallException;

    /**
     * Returns the decided groups after the cursor, waiting for some if there are none.
     *
     * @throws CallException if there is no such step or it can't be read
     */
    Groups fetchGroups(Fetch fetch) throws CallException;

    /**
     * Acknowledges everything up to the cursor.
     *
     * @throws CallException also if a group that the cursor covers was replaced
     */
    void acknowledge(Acknowledgement acknowledgement) throws CallException;

    /** A trainer's request for groups; {@code waitMs} is how long to wait for the first one. */
    record Fetch(TeamId team, RunId run, long step, long cursor, WeightVersion trainer, long waitMs, long deadlineMs) {}

    /** A trainer's acknowledgement. */
    record Acknowledgement(TeamId team, RunId run, long step, long cursor, WeightVersion trainer, long deadlineMs) {}

    /**
     * The groups after a cursor.
     *
     * @param lines one JSON object per group, without line ends
     * @param cursor position to acknowledge, and to pass to the next fetch
     * @param complete whether every group of the step is among the decided ones
     */
    record Groups(List<byte[]> lines, long cursor, boolean complete) {
        public Groups {
            lines = List.copyOf(lines);
        }
    }
}
