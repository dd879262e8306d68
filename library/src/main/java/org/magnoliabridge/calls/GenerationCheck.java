package org.magnoliabridge.calls;

import java.util.Optional;
import org.magnoliabridge.ids.RequestId;

/**
 * Checks that the events of one hop are a whole answer to that hop's request.
 *
 * <p>The request id must match, indexes must be consecutive from 0, the finish event must name the token count, and
 * the end mark must follow. Events for other requests are dropped and counted. Deterministic and not thread-safe.
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

    /** What to do with an event. */
    public sealed interface Verdict {
        /** The token is the next one of this answer. */
        record Accepted(EngineEvent.Token token) implements Verdict {}

        /** Nothing to hand on. */
        record NoToken() implements Verdict {}

        /** The answer can't become whole any more. */
        record Broken(String detail) implements Verdict {}
    }

    /** Takes the next event; after a broken verdict all further ones are broken too. */
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

    /** Returns why the answer is not whole, judged at the end of the connection's answer; empty if it is whole. */
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

    /** Returns whether the tokens accepted so far are in doubt, so that the answer must not be continued from them. */
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
