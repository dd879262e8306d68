package org.magnoliabridge.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintStream;
import java.util.Locale;

/** Prints results and failures: as one JSON line on standard output, or as text with failures on standard error. */
final class Output {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final PrintStream out;
    private final PrintStream err;
    private final boolean asJson;

    Output(PrintStream out, PrintStream err, boolean asJson) {
        this.out = out;
        this.err = err;
        this.asJson = asJson;
    }

    static ObjectNode object() {
        return JSON.createObjectNode();
    }

    static JsonNode parse(byte[] json) throws IOException {
        return JSON.readTree(json);
    }

    int result(Result result) {
        if (asJson) {
            out.println(result.json());
        } else {
            result.lines().forEach(out::println);
        }
        out.flush();
        return result.code().code();
    }

    int failure(CommandException failure) {
        if (asJson) {
            ObjectNode root = object();
            ObjectNode error = root.putObject("error")
                    .put("kind", failure.code().name().toLowerCase(Locale.ROOT))
                    .put("message", failure.getMessage());
            ArrayNode problems = error.putArray("problems");
            failure.problems()
                    .forEach(problem ->
                            problems.addObject().put("field", problem.field()).put("detail", problem.detail()));
            out.println(root);
            out.flush();
        } else {
            err.println("error: " + failure.getMessage());
            failure.problems()
                    .forEach(problem -> err.println(
                            "  " + (problem.field().isEmpty() ? "" : problem.field() + ": ") + problem.detail()));
            err.flush();
        }
        return failure.code().code();
    }
}
