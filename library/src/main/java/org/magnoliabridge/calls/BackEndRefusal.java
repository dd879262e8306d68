package org.magnoliabridge.calls;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import org.magnoliabridge.http.HttpAnswer;

/**
 * What a back end's error answer says about the request.
 *
 * @param status HTTP status
 * @param draining whether the back end is leaving and takes no new work
 * @param notRun whether the back end said that it did not run the request
 */
public record BackEndRefusal(int status, boolean draining, boolean notRun) {
    private static final JsonMapper JSON = new JsonMapper();
    private static final int FIRST_ERROR_STATUS = 400;

    /**
     * Reads an error answer: {@code {"error":"draining"}} or {@code {"error":{"type":"draining","run":"not_run"}}}.
     *
     * <p>Any other body says nothing about whether the request ran.
     */
    public static BackEndRefusal of(HttpAnswer answer) {
        JsonNode error = answer.status() < FIRST_ERROR_STATUS ? null : error(answer.body());
        if (error == null) {
            return new BackEndRefusal(answer.status(), false, false);
        }
        String type = error.isTextual() ? error.asText() : error.path("type").asText();
        boolean draining = type.equals("draining");
        boolean notRun = draining || error.path("run").asText().equals(RunClaim.NOT_RUN.text());
        return new BackEndRefusal(answer.status(), draining, notRun);
    }

    private static JsonNode error(byte[] body) {
        try {
            JsonNode root = JSON.readTree(body);
            return root == null ? null : root.get("error");
        } catch (IOException e) {
            return null;
        }
    }
}
