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
     * Makes a call and returns the whole answer, whatever its status.
     *
     * @throws HttpFailure.NotSent if no byte of the request was written to a connection
     * @throws HttpFailure.Lost if the request was at least partly written and no whole answer came
     */
    HttpAnswer call(HttpCall call) throws HttpFailure;

    /**
     * Makes a call and hands over the answer's lines as they arrive, without their line ends.
     *
     * <p>An answer with a status other than 200 is returned whole and no line is handed over.
     *
     * @return the answer's status and headers; the body is empty if the lines were handed over
     * @throws HttpFailure.Lost also if the answer ended before its proper end
     */
    HttpAnswer stream(HttpCall call, LineReceiver lines) throws HttpFailure;

    /**
     * Makes a call and hands over the answer's content as it arrives, byte for byte.
     *
     * <p>An answer with a status other than 200 is returned whole and nothing is handed over.
     *
     * @return the answer's status and headers; the body is empty if the content was handed over
     * @throws HttpFailure.Lost also if the answer ended before its proper end
     */
    HttpAnswer relay(HttpCall call, PieceReceiver pieces) throws HttpFailure;

    @Override
    void close();

    /** Receives the content of an answer in pieces of any size. */
    interface PieceReceiver {
        /** Takes the status and headers before the first piece; returns false to stop and close the connection. */
        boolean head(HttpAnswer head);

        /** Takes a piece; returns false to stop and close the connection. */
        boolean piece(byte[] piece);
    }

    /** Receives lines of a streamed answer. */
    @FunctionalInterface
    interface LineReceiver {
        /** Takes the status and headers before the first line; returns false to stop and close the connection. */
        default boolean head(HttpAnswer head) {
            return true;
        }

        /** Takes a line; returns false to stop and close the connection. */
        boolean line(String line);
    }
}
