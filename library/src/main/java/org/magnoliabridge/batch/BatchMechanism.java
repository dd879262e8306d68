package org.magnoliabridge.batch;

/** The mechanisms that keep batches exactly once; a test switches one off to show that its checker notices. */
enum BatchMechanism {
    /** A segment of results is created only if it is absent. */
    CREATE_SEGMENT_IF_ABSENT,
    /** A write whose answer was lost is settled by reading it back. */
    READ_BACK,
    /** A reader is told that there is nothing only by a log that is current. */
    CURRENT_CHECK,
    /** A text goes on only with the event after its last one. */
    RESUME,
    /** A batch that may have been accepted is not refused. */
    UNDECIDED
}
