package org.magnoliabridge.batch;

/** The mechanisms that carry texts from one runner to the next; a test switches one off to show what it is for. */
enum TextMechanism {
    /** Texts in progress are stored for the next runner. */
    STORED_TEXTS,
    /** A text of another runner goes on only after that one is known to have stopped. */
    TEXT_FENCE
}
