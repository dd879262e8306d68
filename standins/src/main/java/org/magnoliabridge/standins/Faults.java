package org.magnoliabridge.standins;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * The faults that test drivers have set by {@code POST /faults}: one rule or an array of rules, replacing all earlier
 * ones. The first matching rule with a count left applies.
 */
final class Faults {
    private static final long MAX_STALL_MS = 60_000;

    /** What happens to a matching call. */
    enum Mode {
        /** Nothing. */
        NONE,
        /** The call takes no effect and gets an error status. */
        FAIL,
        /** The call waits until the rules change or the delay has passed, then goes on as usual. */
        STALL,
        /** The call takes effect, then the connection is closed without an answer; a stream is broken off. */
        LOSE_ANSWER,
        /** The connection never answers again, while other connections work. */
        SILENT
    }

    /** A rule as it applies to one call. */
    record Rule(Mode mode, int status, long delayMs) {
        static final Rule NONE = new Rule(Mode.NONE, 0, 0);
    }

    private static final class Armed {
        private final Rule rule;
        private final String match;
        private final String method;
        private long left;

        Armed(Rule rule, String match, String method, long left) {
            this.rule = rule;
            this.match = match;
            this.method = method;
            this.left = left;
        }

        boolean matches(String callMethod, String path) {
            return left > 0 && path.startsWith(match) && (method.isEmpty() || method.equals(callMethod));
        }
    }

    private List<Armed> rules = List.of();
    private long changes;

    /** Replaces the rules by those of a {@code POST /faults} body. */
    synchronized void set(JsonNode body) throws BadCallException {
        List<Armed> next = new ArrayList<>();
        if (body.isArray()) {
            for (JsonNode rule : body) {
                next.add(parse(rule));
            }
        } else {
            next.add(parse(body));
        }
        rules = next;
        changes++;
        notifyAll();
    }

    /** Returns the rule for a call and uses up one of its count. */
    synchronized Rule take(String method, String path) {
        for (Armed armed : rules) {
            if (armed.matches(method, path)) {
                armed.left--;
                return armed.rule;
            }
        }
        return Rule.NONE;
    }

    /** Uses up one of the count of a matching rule with mode SILENT; returns whether there was one. */
    synchronized boolean takeSilent(String method, String path) {
        for (Armed armed : rules) {
            if (armed.rule.mode() == Mode.SILENT && armed.matches(method, path)) {
                armed.left--;
                return true;
            }
        }
        return false;
    }

    /** Waits until the rules change or the delay has passed. */
    synchronized void awaitChange(long delayMs) throws InterruptedException {
        long seen = changes;
        long end = System.nanoTime() + delayMs * 1_000_000;
        long left = delayMs;
        while (changes == seen && left > 0) {
            wait(left);
            left = (end - System.nanoTime()) / 1_000_000;
        }
    }

    private static Armed parse(JsonNode rule) throws BadCallException {
        String name = Json.text(rule, "mode");
        Mode mode = null;
        for (Mode candidate : Mode.values()) {
            if (candidate.name().toLowerCase(Locale.ROOT).equals(name)) {
                mode = candidate;
            }
        }
        if (mode == null) {
            throw new BadCallException("field mode must be none, fail, stall, lose_answer or silent");
        }
        // A silent rule without a count takes one connection: the fault needs other connections that work.
        long count = rule.path("count").asLong(mode == Mode.SILENT ? 1 : Long.MAX_VALUE);
        return new Armed(
                new Rule(
                        mode,
                        rule.path("status").asInt(503),
                        rule.path("delay_ms").asLong(MAX_STALL_MS)),
                rule.path("match").asText("/"),
                rule.path("method").asText(""),
                mode == Mode.NONE ? 0 : count);
    }
}
