package org.magnoliabridge.calls;

import java.io.IOException;
import java.util.Optional;
import java.util.OptionalLong;
import org.magnoliabridge.http.HttpAnswer;
import org.magnoliabridge.http.HttpCaller;
import org.magnoliabridge.http.HttpFailure;

/**
 * Calls services that answer with a stream of events, and hands each event over as soon as it is whole.
 *
 * <p>A stream that breaks off goes on at another endpoint after its last event if the request may be repeated. Calls
 * block, so they are made from traffic threads.
 */
public final class StreamCaller {
    private static final int OK = 200;
    private static final int FIRST_SERVER_ERROR = 500;

    private final StreamServiceClient services;
    private final CallDependencies tools;

    public StreamCaller(StreamServiceClient services, CallDependencies tools) {
        this.services = services;
        this.tools = tools;
    }

    /** Takes a stream for its caller. */
    public interface Receiver {
        /** Takes the status and headers of the first endpoint that streams; called once, before the first event. */
        void begin(PlainAnswer head) throws IOException;

        /** Takes a whole event. */
        void event(byte[] bytes) throws IOException;
    }

    /**
     * Calls the service until the stream is complete.
     *
     * @return empty if the stream is complete; else the endpoint's whole answer that is no stream
     * @throws CallException if there is no answer, or if the stream, once begun, does not come to its end
     */
    public Optional<PlainAnswer> call(PlainRequest request, Cancellation cancellation, Receiver receiver)
            throws CallException {
        return cancellation.runInterruptibly(() -> new Call(request, cancellation, receiver).run());
    }

    /** What came of one attempt. */
    private sealed interface Attempt {
        /** The stream is complete. */
        record Complete() implements Attempt {}

        /** The endpoint answered with something else than a stream. */
        record Answered(PlainAnswer answer) implements Attempt {}

        /** The request did not run. */
        record NotRun(Failure failure) implements Attempt {}

        /** The request may have run, or the stream broke off. */
        record Broken(Failure failure) implements Attempt {}
    }

    /** One call with its attempts; receives the pieces of the current one. */
    private final class Call implements HttpCaller.PieceReceiver {
        private final PlainRequest request;
        private final Cancellation cancellation;
        private final Receiver receiver;
        private final Attempts attempts;
        private EventSplitter splitter;
        private boolean begun;
        private OptionalLong lastEvent = OptionalLong.empty();
        private Optional<Failure> fault = Optional.empty();

        Call(PlainRequest request, Cancellation cancellation, Receiver receiver) {
            this.request = request;
            this.cancellation = cancellation;
            this.receiver = receiver;
            this.attempts = new Attempts(request, tools, cancellation);
        }

        Optional<PlainAnswer> run() throws CallException {
            while (true) {
                switch (attempt()) {
                    case Attempt.Complete complete -> {
                        return Optional.empty();
                    }
                    case Attempt.Answered answered -> {
                        boolean failed = answered.answer().status() >= FIRST_SERVER_ERROR;
                        if (!failed || !tryAcquireRetry()) {
                            return whole(answered.answer());
                        }
                    }
                    case Attempt.NotRun refused -> {
                        if (!attempts.tryAcquireRetryAfterRefusal()) {
                            throw attempts.toException(refused.failure());
                        }
                    }
                    case Attempt.Broken broken -> {
                        if (!tryAcquireRetry()) {
                            throw attempts.toException(broken.failure());
                        }
                        tools.metrics().resumes.inc();
                    }
                }
            }
        }

        // The error of an endpoint that was asked to go on is no part of the stream.
        private Optional<PlainAnswer> whole(PlainAnswer answer) throws CallException {
            if (begun) {
                throw attempts.toException(
                        new Failure.IncompleteAnswer("the stream broke off and could not be resumed"));
            }
            return Optional.of(answer);
        }

        // A stream whose events carry no numbers can't be resumed once an event was handed over.
        private boolean tryAcquireRetry() {
            boolean resumable = !begun || lastEvent.isPresent();
            return request.idempotent() && resumable && fault.isEmpty() && attempts.tryAcquireRetry();
        }

        private Attempt attempt() throws CallException {
            try (EndpointSource.Slot slot = attempts.acquire()) {
                if (attempts.remainingMs() <= 0) {
                    throw attempts.toException(new Failure.DeadlineExceeded());
                }
                Spans.Span span = tools.spans()
                        .start("stream", request.trace())
                        .set("endpoint", slot.endpoint().value());
                Attempt attempt = send(slot);
                span.end(attempt instanceof Attempt.Complete ? "ok" : "failed");
                return attempt;
            }
        }

        private Attempt send(EndpointSource.Slot slot) {
            attempts.attemptStarted();
            splitter = new EventSplitter(this::event);
            try {
                HttpAnswer answer =
                        services.stream(request, slot, attempts.streamLimits(), begun ? lastEvent.orElse(0) : 0, this);
                return answer.status() == OK ? ended(slot) : answered(slot, answer);
            } catch (HttpFailure.NotSent e) {
                return new Attempt.NotRun(attempts.unreachable(slot, e));
            } catch (HttpFailure e) {
                return broken(slot, "the stream broke off: " + e.getMessage());
            }
        }

        private Attempt ended(EndpointSource.Slot slot) {
            if (fault.isPresent()) {
                return new Attempt.Broken(fault.get());
            }
            if (!begun || !splitter.atBoundary()) {
                return broken(slot, "the stream ended within an event");
            }
            slot.observed(EndpointSource.Observation.ANSWERED);
            return new Attempt.Complete();
        }

        private Attempt answered(EndpointSource.Slot slot, HttpAnswer answer) {
            BackEndRefusal refusal = services.refusal(answer);
            if (refusal.notRun()) {
                return new Attempt.NotRun(attempts.refused(slot, refusal));
            }
            attempts.answered();
            slot.observed(EndpointSource.Observation.ANSWERED);
            return new Attempt.Answered(services.answer(answer));
        }

        private Attempt broken(EndpointSource.Slot slot, String detail) {
            tools.metrics().brokenAnswers.inc();
            attempts.logFailed(slot, detail + ", last event " + lastEvent.orElse(0));
            if (cancellation.reason().isPresent()) {
                return new Attempt.Broken(
                        Cancellation.failure(cancellation.reason().get()));
            }
            slot.observed(EndpointSource.Observation.FAULTY_ANSWER);
            return new Attempt.Broken(
                    attempts.remainingMs() <= 0
                            ? new Failure.DeadlineExceeded()
                            : new Failure.IncompleteAnswer(detail));
        }

        @Override
        public boolean head(HttpAnswer head) {
            attempts.answered();
            if (begun) {
                return true;
            }
            begun = true;
            return deliver(() -> receiver.begin(services.answer(head)));
        }

        @Override
        public boolean piece(byte[] piece) {
            boolean taken = splitter.accept(piece);
            if (!taken && fault.isEmpty()) {
                fault = Optional.of(new Failure.IncompleteAnswer("the endpoint's events cannot be followed"));
            }
            return taken;
        }

        // Numbers rise by one, also where another endpoint goes on, so that no event is missing or comes twice.
        private boolean event(OptionalLong number, byte[] bytes) {
            boolean follows =
                    lastEvent.isEmpty() || (number.isPresent() && number.getAsLong() == lastEvent.getAsLong() + 1);
            if (!follows) {
                return false;
            }
            lastEvent = number;
            return deliver(() -> receiver.event(bytes));
        }

        private boolean deliver(Delivery action) {
            try {
                action.run();
                return true;
            } catch (IOException e) {
                fault = Optional.of(new Failure.CallerGone());
                return false;
            }
        }
    }

    private interface Delivery {
        void run() throws IOException;
    }
}
