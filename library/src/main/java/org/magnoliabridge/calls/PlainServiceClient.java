package org.magnoliabridge.calls;

import org.magnoliabridge.http.HttpAnswer;
import org.magnoliabridge.http.HttpFailure;
import org.magnoliabridge.http.HttpLimits;

/** Sends requests to the endpoints of plain services and interprets their responses. */
public interface PlainServiceClient {
    /**
     * Sends the request once to the slot's endpoint; never retries.
     *
     * @throws HttpFailure if there is no complete response to this request
     */
    HttpAnswer send(PlainRequest request, EndpointSource.Slot slot, HttpLimits limits, TraceContext trace)
            throws HttpFailure;

    /** Returns what an error response says about the request, such as that it did not run. */
    BackEndRefusal refusal(HttpAnswer answer);

    /** Returns the part of the response that is passed on to the caller. */
    PlainAnswer answer(HttpAnswer answer);
}
