package org.magnoliabridge.external;

/** Scores a sample for a trainer; calls block. */
public interface ScoringService {
    /** Returns the score of a text that was generated for a prompt; scoring may be repeated. */
    double score(String prompt, String text) throws PlatformException;
}
