package org.magnoliabridge.calls;

import java.util.Optional;
import org.magnoliabridge.ids.RequestId;

/**
 * Checks that the events received for one request to an engine are a complete response to that request.
 *
 * <p>The indexes of the tokens must be consecutive from 0, the finish event must contain the number of tokens, and the
 * end mark must follow it. Events with another request id are dropped and counted. Deterministic and not thread-safe.
 */
public final class GenerationCheck {
    private final RequestId expected;
    private int tokens;
    private int foreignEvents;
    private EngineEvent.Finish finish;
    private boolean ended;
    private String fault;
    private boolean contradicted;

    public GenerationCheck(RequestId expected) {
        this.expected = expected;
    }

    /** The result of checking an event. */
    public sealed interface Verdict {
        /** The event is the next token of the response. */
        record Accepted(EngineEvent.Token token) implements Verdict {}

        /** The event is valid or dropped, and contains no token to deliver. */
        record NoToken() implements Verdict {}

        /** The response is invalid and can't become complete. */
        record Broken(String detail) implements Verdict {}
    }

    /** Checks the next event; once the verdict is broken, it is broken for all later events. */
    public Verdict accept(EngineEvent event) {
        if (fault != null) {
            return new Verdict.Broken(fault);
        }
        return switch (event) {
            case EngineEvent.Token token -> isForeign(token.requestId()) ? drop() : token(token);
            case EngineEvent.Finish end -> isForeign(end.requestId()) ? drop() : finish(end);
            case EngineEvent.EndMark mark -> end();
            case EngineEvent.Malformed malformed -> broken(malformed.detail());
        };
    }

    /** Returns why the response is incomplete, or empty if it is complete; called at the end of the response. */
    public Optional<String> incompleteReason() {
        if (fault != null) {
            return Optional.of(fault);
        }
        if (finish == null) {
            return Optional.of("the answer ended after " + tokens + " tokens without a finish event");
        }
        return ended ? Optional.empty() : Optional.of("the answer ended without its end mark");
    }

    /** Returns why the generation ended; empty before the finish event. */
    public Optional<FinishReason> finishReason() {
        return Optional.ofNullable(finish).map(EngineEvent.Finish::reason);
    }

    /** Returns whether a finish event contradicts the accepted tokens, so that no retry may continue after them. */
    public boolean isContradicted() {
        return contradicted;
    }

    /** Returns the number of events for other requests that were dropped. */
    public int foreignEvents() {
        return foreignEvents;
    }

    private Verdict token(EngineEvent.Token token) {
        if (finish != null) {
            contradicted = true;
            return broken("a token follows the finish event");
        }
        if (token.index() != tokens) {
            return broken("token index " + token.index() + " where " + tokens + " was expected");
        }
        tokens++;
        return new Verdict.Accepted(token);
    }

    private Verdict finish(EngineEvent.Finish end) {
        if (finish != null) {
            return broken("a second finish event");
        }
        if (end.tokens() != tokens) {
            contradicted = end.tokens() < tokens;
            return broken("the finish event names " + end.tokens() + " tokens, " + tokens + " came");
        }
        finish = end;
        return new Verdict.NoToken();
    }

    private Verdict end() {
        if (finish == null) {
            return broken("the end mark came without a finish event");
        }
        if (ended) {
            return broken("a second end mark");
        }
        ended = true;
        return new Verdict.NoToken();
    }

    private boolean isForeign(String id) {
        return !expected.value().equals(id);
    }

    private Verdict drop() {
        foreignEvents++;
        return new Verdict.NoToken();
    }

    private Verdict broken(String detail) {
        fault = detail;
        return new Verdict.Broken(detail);
    }
}
