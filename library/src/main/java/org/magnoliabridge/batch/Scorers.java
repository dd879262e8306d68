package org.magnoliabridge.batch;

/** Calls the services that score texts. */
public interface Scorers {
    /**
     * Makes a call and blocks until it ends.
     *
     * <p>Interrupting the calling thread closes the connection and ends the call as {@link ScoreOutcome.Stopped}.
     */
    ScoreOutcome score(ScoreCall call);
}
