package org.magnoliabridge.calls;

import java.util.Optional;
import org.magnoliabridge.http.HttpAnswer;
import org.magnoliabridge.http.HttpFailure;

/**
 * Calls plain services, which are HTTP services other than engines. Retries a request only if its route is idempotent
 * or if the request certainly did not run.
 *
 * <p>Calls block, so they are made on traffic threads. An idempotent request whose endpoint takes more than half of the
 * remaining time is retried at another one, so that one unresponsive endpoint does not use up the deadline.
 */
public final class PlainCaller {
    private final PlainServiceClient client;
    private final CallDependencies dependencies;

    public PlainCaller(PlainServiceClient client, CallDependencies dependencies) {
        this.client = client;
        this.dependencies = dependencies;
    }

    /**
     * Calls the service and returns its complete response, whatever its status.
     *
     * @throws CallException if there is no complete response; {@link CallException#executionStatus} says whether the
     *     request ran
     */
    public PlainAnswer call(PlainRequest request, Cancellation cancellation) throws CallException {
        return cancellation.runInterruptibly(() -> new Call(request, cancellation).run());
    }

    /** The outcome of an attempt. */
    private sealed interface Attempt {
        /** The endpoint responded; a server error may be retried at another endpoint. */
        record Answered(PlainAnswer answer) implements Attempt {}

        /** The request did not run. */
        record NotRun(Failure failure) implements Attempt {}

        /** The request may have run. */
        record Lost(Failure failure) implements Attempt {}

        /** The deadline has passed, or this node has no room for an answer. */
        record NotRetryable(Failure failure) implements Attempt {}
    }

    /** A call with all its attempts. */
    private final class Call {
        private final PlainRequest request;
        private final Attempts attempts;
        private Optional<PlainAnswer> serverError = Optional.empty();

        Call(PlainRequest request, Cancellation cancellation) {
            this.request = request;
            this.attempts = new Attempts(request, dependencies, cancellation);
        }

        PlainAnswer run() throws CallException {
            while (true) {
                Attempt attempt;
                try {
                    attempt = attempt();
                } catch (CallException e) {
                    if (serverError.isPresent()) {
                        return serverError.get();
                    }
                    throw e;
                }
                switch (attempt) {
                    case Attempt.Answered answered -> {
                        boolean failed = answered.answer().status() >= Attempts.FIRST_SERVER_ERROR;
                        if (!failed || !request.idempotent() || !attempts.tryAcquireRetry()) {
                            return answered.answer();
                        }
                        serverError = Optional.of(answered.answer());
                    }
                    case Attempt.NotRun notRun -> {
                        if (!attempts.tryAcquireRetryAfterRefusal()) {
                            return orServerError(notRun.failure());
                        }
                    }
                    case Attempt.Lost lost -> {
                        if (!request.idempotent() || !attempts.tryAcquireRetry()) {
                            return orServerError(lost.failure());
                        }
                    }
                    case Attempt.NotRetryable failed -> {
                        return orServerError(failed.failure());
                    }
                }
            }
        }

        // A server error from an earlier attempt tells the caller more than the failure of this attempt.
        private PlainAnswer orServerError(Failure failure) throws CallException {
            if (serverError.isPresent()) {
                return serverError.get();
            }
            throw attempts.toException(failure);
        }

        private Attempt attempt() throws CallException {
            try (EndpointSource.Slot slot = attempts.acquire()) {
                if (attempts.remainingMs() <= 0) {
                    return new Attempt.NotRetryable(new Failure.DeadlineExceeded());
                }
                Spans.Span span = dependencies
                        .spans()
                        .start("plain", request.trace())
                        .set("endpoint", slot.endpoint().value());
                Attempt attempt = send(slot, span.context());
                span.end(attempt instanceof Attempt.Answered ? "ok" : "failed");
                return attempt;
            }
        }

        private Attempt send(EndpointSource.Slot slot, TraceContext trace) {
            attempts.attemptStarted();
            try {
                HttpAnswer answer = client.send(request, slot, attempts.limits(), trace);
                attempts.answered();
                return answered(slot, answer);
            } catch (HttpFailure.NotSent e) {
                return new Attempt.NotRun(attempts.unreachable(slot, e));
            } catch (HttpFailure.NoRoom e) {
                attempts.answered();
                attempts.logFailed(slot, e.getMessage());
                return new Attempt.NotRetryable(new Failure.IncompleteAnswer("this node has no room for the answer"));
            } catch (HttpFailure.TooLarge e) {
                attempts.answered();
                return tooLarge(slot, e);
            } catch (HttpFailure e) {
                return lost(slot, e);
            }
        }

        private Attempt answered(EndpointSource.Slot slot, HttpAnswer answer) {
            BackEndRefusal refusal = client.refusal(answer);
            if (refusal.notRun()) {
                return new Attempt.NotRun(attempts.refused(slot, refusal));
            }
            attempts.ended(slot, answer);
            return new Attempt.Answered(client.answer(answer));
        }

        // Another endpoint may send a smaller answer: one that never ends is not the service's.
        private Attempt tooLarge(EndpointSource.Slot slot, HttpFailure.TooLarge cause) {
            dependencies.metrics().brokenAnswers.inc();
            attempts.logFailed(slot, cause.getMessage());
            attempts.ended(slot, cause);
            return new Attempt.Lost(new Failure.IncompleteAnswer("the answer is over the size limit"));
        }

        private Attempt lost(EndpointSource.Slot slot, HttpFailure cause) {
            dependencies.metrics().brokenAnswers.inc();
            attempts.logFailed(slot, cause.getMessage());
            attempts.ended(slot, cause);
            if (!request.idempotent()) {
                return new Attempt.Lost(new Failure.OutcomeUnknown());
            }
            return attempts.remainingMs() <= 0
                    ? new Attempt.NotRetryable(new Failure.DeadlineExceeded())
                    : new Attempt.Lost(new Failure.IncompleteAnswer(
                            "the service's answer did not come whole: " + cause.getMessage()));
        }
    }
}
