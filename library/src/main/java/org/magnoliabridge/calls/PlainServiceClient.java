package org.magnoliabridge.calls;

import org.magnoliabridge.http.HttpAnswer;
import org.magnoliabridge.http.HttpFailure;
import org.magnoliabridge.http.HttpLimits;

/** How requests are put to the endpoints of plain services, and how their answers are read. */
public interface PlainServiceClient {
    /**
     * Sends the request once to the endpoint of a slot; never retries.
     *
     * @throws HttpFailure if there is no whole answer to this request
     */
    HttpAnswer send(PlainRequest request, EndpointSource.Slot slot, HttpLimits limits, TraceContext trace)
            throws HttpFailure;

    /** Returns what the answer says about whether the request ran. */
    BackEndRefusal refusal(HttpAnswer answer);

    /** Returns the part of the answer that the caller gets. */
    PlainAnswer answer(HttpAnswer answer);
}
