package org.magnoliabridge.http;

/**
 * Makes HTTP calls; each blocks the calling thread, so calls are made from traffic threads only.
 *
 * <pre>{@code
 * HttpCall call = HttpCall.json("POST", address, "/v1/generate", body).withLimits(limits);
 * HttpAnswer answer = caller.call(call);
 * }</pre>
 */
public interface HttpCaller extends AutoCloseable {
    /**
     * Makes a call and returns the complete answer, whatever its status.
     *
     * @throws HttpFailure.NotSent if no byte of the request was written to a connection, for example because the call's
     *     condition did not hold
     * @throws HttpFailure.ReusedConnectionLost if a reused connection failed before the answer and the call was not
     *     sent again, because it may not be repeated or its time to connect had passed
     * @throws HttpFailure.Lost if the request was at least partly written and no complete answer was received, or one
     *     that does not pass the call's check
     */
    HttpAnswer call(HttpCall call) throws HttpFailure;

    /**
     * Makes a call and passes the lines of the answer to the receiver as they arrive, without line terminators.
     *
     * <p>An answer with a status other than 200 is returned as a whole and no line is passed on.
     *
     * @return the answer's status and headers; the body is empty if the lines were passed on
     * @throws HttpFailure.Lost also if the answer was truncated
     */
    HttpAnswer stream(HttpCall call, LineReceiver lines) throws HttpFailure;

    /**
     * Makes a call and passes the content of the answer to the receiver as it arrives, unchanged.
     *
     * <p>An answer with a status other than 200 is returned as a whole and nothing is passed on.
     *
     * @return the answer's status and headers; the body is empty if the content was passed on
     * @throws HttpFailure.Lost also if the answer was truncated
     */
    HttpAnswer relay(HttpCall call, PieceReceiver pieces) throws HttpFailure;

    @Override
    void close();

    /** Receives the content of an answer in pieces of any size. */
    interface PieceReceiver {
        /** Called with the status and headers before the first piece; returns false to close the connection. */
        boolean head(HttpAnswer head);

        /** Called with each piece; returns false to stop and close the connection. */
        boolean piece(byte[] piece);
    }

    /** Receives lines of a streamed answer. */
    @FunctionalInterface
    interface LineReceiver {
        /** Called with the status and headers before the first line; returns false to stop and close the connection. */
        default boolean head(HttpAnswer head) {
            return true;
        }

        /** Called with each line; returns false to stop and close the connection. */
        boolean line(String line);
    }
}
