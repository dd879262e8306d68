package org.magnoliabridge.external;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.magnoliabridge.http.HttpAnswer;
import org.magnoliabridge.http.HttpCall;
import org.magnoliabridge.http.HttpCaller;
import org.magnoliabridge.http.HttpFailure;

/** Gives every call the same answer and records the last call, for tests of adapters. */
public final class ScriptedCaller implements HttpCaller {
    /** Number of calls made. */
    public int calls;

    HttpCall last;
    private final Object result;

    ScriptedCaller(HttpFailure failure) {
        this.result = failure;
    }

    public ScriptedCaller(int status, String header, String value, String body) {
        this.result = new HttpAnswer(status, Map.of(header, value), body.getBytes(StandardCharsets.UTF_8));
    }

    @Override
    public HttpAnswer call(HttpCall call) throws HttpFailure {
        calls++;
        last = call;
        if (result instanceof HttpFailure failure) {
            throw failure;
        }
        return (HttpAnswer) result;
    }

    @Override
    public HttpAnswer stream(HttpCall call, LineReceiver lines) throws HttpFailure {
        return call(call);
    }

    @Override
    public HttpAnswer relay(HttpCall call, PieceReceiver pieces) throws HttpFailure {
        return call(call);
    }

    @Override
    public void close() {}
}
