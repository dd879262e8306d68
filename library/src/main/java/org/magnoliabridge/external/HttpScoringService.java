package org.magnoliabridge.external;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;
import java.util.Map;
import org.magnoliabridge.http.HttpCaller;
import org.magnoliabridge.http.HttpLimits;

/** {@link ScoringService} over HTTP. */
public final class HttpScoringService implements ScoringService {
    private final PlatformHttp http;

    public HttpScoringService(HttpCaller caller, InetSocketAddress target, HttpLimits limits) {
        this.http = new PlatformHttp(caller, target, limits);
    }

    @Override
    public double score(String prompt, String text) throws PlatformException {
        byte[] body = PlatformHttp.bytes(Map.of("prompt", prompt, "text", text));
        JsonNode score =
                PlatformHttp.json(http.read(http.send("POST", "/score", body))).path("score");
        if (!score.isNumber()) {
            throw new PlatformException.Malformed("field score is missing or not a number", null);
        }
        return score.doubleValue();
    }
}
