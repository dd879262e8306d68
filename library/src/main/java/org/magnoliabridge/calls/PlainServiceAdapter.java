package org.magnoliabridge.calls;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.magnoliabridge.http.HttpAnswer;
import org.magnoliabridge.http.HttpCall;
import org.magnoliabridge.http.HttpCaller;
import org.magnoliabridge.http.HttpFailure;
import org.magnoliabridge.http.HttpLimits;

/**
 * Sends a request to one endpoint of a plain service and checks that the response is complete; never retries.
 *
 * <p>The outgoing request contains only the caller's headers that are on the allow list. Non-idempotent requests use a
 * new connection, because the endpoint may close a pooled one while the request is written.
 */
public final class PlainServiceAdapter implements PlainServiceClient {
    private static final int MAX_ANSWER_BYTES = 8 << 20;
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;

    private final HttpCaller http;

    public PlainServiceAdapter(HttpCaller http) {
        this.http = http;
    }

    @Override
    public HttpAnswer send(PlainRequest request, EndpointSource.Slot slot, HttpLimits limits, TraceContext trace)
            throws HttpFailure {
        Map<String, String> headers = new LinkedHashMap<>(PlainHeaders.filterRequest(request.headers()));
        headers.put("traceparent", trace.traceparent());
        headers.put("x-request-id", request.id().value());
        HttpCall call = HttpCall.of(request.method(), slot.address(), request.path())
                .withHeaders(headers)
                .withBody(request.body())
                .withLimits(limits)
                .withDeadlineHeader("x-deadline-ms")
                .withMaxAnswerBytes(MAX_ANSWER_BYTES);
        HttpAnswer answer = http.call(request.idempotent() ? call.repeatable() : call.onFreshConnection());
        Optional<String> fault = incompleteness(request.method(), answer);
        if (fault.isPresent()) {
            throw new HttpFailure.Lost(fault.get(), null);
        }
        return answer;
    }

    @Override
    public BackEndRefusal refusal(HttpAnswer answer) {
        return BackEndRefusal.of(answer);
    }

    @Override
    public PlainAnswer answer(HttpAnswer answer) {
        return new PlainAnswer(answer.status(), PlainHeaders.filterAnswer(answer.headers()), answer.content());
    }

    // The HTTP client detects truncated chunked bodies; this check detects bodies shorter than their Content-Length.
    private static Optional<String> incompleteness(String method, HttpAnswer answer) {
        boolean bodyless = method.equals("HEAD") || answer.status() == NO_CONTENT || answer.status() == NOT_MODIFIED;
        Optional<String> length = answer.header("content-length");
        if (bodyless || length.isEmpty()) {
            return Optional.empty();
        }
        return length.get().strip().equals(Long.toString(answer.content().size()))
                ? Optional.empty()
                : Optional.of("the answer has " + answer.content().size() + " of " + length.get() + " bytes");
    }
}
