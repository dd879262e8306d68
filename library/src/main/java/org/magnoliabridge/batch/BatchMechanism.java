package org.magnoliabridge.batch;

/** Mechanisms that make batches exactly-once. A test disables one to show that its checker detects the violations. */
enum BatchMechanism {
    /** A segment of results is created only if it is absent. */
    CREATE_SEGMENT_IF_ABSENT,
    /** The outcome of a write whose reply was lost is determined by reading it back. */
    READ_BACK,
    /** A read is answered without results only from a log that is current. */
    CURRENT_CHECK,
    /** A resumed text continues with the event after its last one. */
    RESUME,
    /** A complete text waits for its score. */
    AWAIT_SCORE,
    /** A batch that may have been accepted is not rejected as not run. */
    UNDECIDED
}
