package org.magnoliabridge.calls;

import org.magnoliabridge.http.HttpAnswer;
import org.magnoliabridge.http.HttpCaller;
import org.magnoliabridge.http.HttpFailure;
import org.magnoliabridge.http.HttpLimits;

/** Sends requests for event streams to endpoints. */
public interface StreamServiceClient extends PlainServiceClient {
    /**
     * Sends the request once and passes the content of the response to {@code pieces} as it arrives.
     *
     * @param lastEventId id of the event after which to resume the stream; 0 to send the request unchanged
     * @return the status and headers; for a status other than 200, the complete response
     * @throws HttpFailure if the response does not belong to the request, or is truncated
     */
    HttpAnswer stream(
            PlainRequest request,
            EndpointSource.Slot slot,
            HttpLimits limits,
            long lastEventId,
            HttpCaller.PieceReceiver pieces)
            throws HttpFailure;
}
