package org.magnoliabridge.calls;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.io.IOException;
import org.magnoliabridge.http.HttpAnswer;

/**
 * What a back end's error response says about the request.
 *
 * @param status HTTP status
 * @param draining whether the back end is shutting down and accepts no new work
 * @param notRun whether the back end stated that it did not run the request
 */
public record BackEndRefusal(int status, boolean draining, boolean notRun) {
    private static final JsonMapper JSON = new JsonMapper();
    private static final int UNAVAILABLE = 503;

    /**
     * Parses an error response: {@code {"error":"draining","run":"not_run"}} or
     * {@code {"error":{"type":"draining","run":"not_run"}}}.
     *
     * <p>{@code not_run} counts only with status 503: with another status the error may contain text from the
     * caller's request.
     */
    public static BackEndRefusal of(HttpAnswer answer) {
        JsonNode root = answer.status() == UNAVAILABLE ? parse(answer.body()) : MissingNode.getInstance();
        JsonNode error = root.path("error");
        String type = error.isTextual() ? error.asText() : error.path("type").asText();
        JsonNode run = error.isTextual() ? root.path("run") : error.path("run");
        boolean draining = type.equals("draining");
        boolean notRun = run.asText().equals(ExecutionStatus.NOT_RUN.text());
        return new BackEndRefusal(answer.status(), draining, notRun);
    }

    private static JsonNode parse(byte[] body) {
        try {
            return JSON.readTree(body);
        } catch (IOException e) {
            return MissingNode.getInstance();
        }
    }
}
