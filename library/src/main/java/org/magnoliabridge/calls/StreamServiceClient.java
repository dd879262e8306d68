package org.magnoliabridge.calls;

import org.magnoliabridge.http.HttpAnswer;
import org.magnoliabridge.http.HttpCaller;
import org.magnoliabridge.http.HttpFailure;
import org.magnoliabridge.http.HttpLimits;

/** How requests for streams of events are put to endpoints. */
public interface StreamServiceClient extends PlainServiceClient {
    /**
     * Sends the request once and hands over the content of the answer as it arrives.
     *
     * @param lastEvent the event after which the stream goes on; 0 to begin as the request says
     * @return the status and headers; an answer with a status other than 200 is returned whole instead
     * @throws HttpFailure if the answer does not belong to the request, or did not come to its proper end
     */
    HttpAnswer stream(
            PlainRequest request,
            EndpointSource.Slot slot,
            HttpLimits limits,
            long lastEvent,
            HttpCaller.PieceReceiver pieces)
            throws HttpFailure;
}
