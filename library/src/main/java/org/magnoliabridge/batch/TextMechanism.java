package org.magnoliabridge.batch;

/** Mechanisms that transfer texts from one runner to the next. A test disables one to show its effect. */
enum TextMechanism {
    /** Texts in progress are stored for the next runner. */
    STORED_TEXTS,
    /** A text of another runner is resumed only after that runner is known to have stopped. */
    TEXT_FENCE
}
