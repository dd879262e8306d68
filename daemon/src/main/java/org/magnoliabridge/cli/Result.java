package org.magnoliabridge.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;

/**
 * What a command found or did.
 *
 * @param json the output with {@code --json}
 * @param lines the output without it
 */
record Result(ExitCode code, ObjectNode json, List<String> lines) {
    Result {
        lines = List.copyOf(lines);
    }

    static Result ok(ObjectNode json, String... lines) {
        return new Result(ExitCode.OK, json, List.of(lines));
    }
}
