package org.magnoliabridge.calls;

import java.io.IOException;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;
import org.magnoliabridge.http.HttpAnswer;
import org.magnoliabridge.http.HttpCaller;
import org.magnoliabridge.http.HttpFailure;

/**
 * Calls services that respond with a stream of events, and delivers each event as soon as it is complete.
 *
 * <p>If a stream of an idempotent request breaks off, or its endpoint sends bytes but no complete event for the
 * progress limit, another endpoint resumes it after the last delivered event. Calls block, so they are made on traffic
 * threads.
 */
public final class StreamCaller {
    private static final int OK = 200;

    private final StreamServiceClient client;
    private final CallDependencies dependencies;

    public StreamCaller(StreamServiceClient client, CallDependencies dependencies) {
        this.client = client;
        this.dependencies = dependencies;
    }

    /** Receives the events of a stream. */
    public interface Receiver {
        /** Receives the status and headers of the first streamed response; called once, before the first event. */
        void begin(PlainAnswer head) throws IOException;

        /** Receives a complete event. */
        void event(byte[] bytes) throws IOException;
    }

    /**
     * Calls the service until the stream is complete.
     *
     * @return empty if the stream is complete; otherwise the endpoint's response that is not a stream
     * @throws CallException if there is no response, or if a stream began but could not be completed
     */
    public Optional<PlainAnswer> call(PlainRequest request, Cancellation cancellation, Receiver receiver)
            throws CallException {
        return cancellation.runInterruptibly(() -> new Call(request, cancellation, receiver).run());
    }

    /** The outcome of an attempt. */
    private sealed interface Attempt {
        /** The stream is complete. */
        record Complete() implements Attempt {}

        /** The endpoint sent a response that is not a stream. */
        record Answered(PlainAnswer answer) implements Attempt {}

        /** The request did not run. */
        record NotRun(Failure failure) implements Attempt {}

        /** The request may have run, or the stream broke off. */
        record Broken(Failure failure) implements Attempt {}
    }

    /** A call with all its attempts; receives the response content of the current one. */
    private final class Call implements HttpCaller.PieceReceiver {
        private final PlainRequest request;
        private final Cancellation cancellation;
        private final Receiver receiver;
        private final Attempts attempts;
        private EventSplitter splitter;
        // Of the current attempt, until an event is delivered: before that, the request can still get another answer.
        private Optional<PlainAnswer> head = Optional.empty();
        private boolean begun;
        private String mediaType = "";
        private boolean otherMediaType;
        private boolean stalled;
        private long lastEventMs;
        private OptionalLong lastEventId = OptionalLong.empty();
        private Optional<Failure> fault = Optional.empty();

        Call(PlainRequest request, Cancellation cancellation, Receiver receiver) {
            this.request = request;
            this.cancellation = cancellation;
            this.receiver = receiver;
            this.attempts = new Attempts(request, dependencies, cancellation);
        }

        Optional<PlainAnswer> run() throws CallException {
            while (true) {
                switch (attempt()) {
                    case Attempt.Complete complete -> {
                        return Optional.empty();
                    }
                    case Attempt.Answered answered -> {
                        boolean failed = answered.answer().status() >= Attempts.FIRST_SERVER_ERROR;
                        if (!failed || !tryAcquireRetry()) {
                            return answerUnlessBegun(answered.answer());
                        }
                    }
                    case Attempt.NotRun notRun -> {
                        if (!attempts.tryAcquireRetryAfterRefusal()) {
                            throw attempts.toException(notRun.failure());
                        }
                    }
                    case Attempt.Broken broken -> {
                        if (!tryAcquireRetry()) {
                            throw attempts.toException(broken.failure());
                        }
                        dependencies.metrics().resumes.inc();
                    }
                }
            }
        }

        // Once the stream has begun, the error response of another endpoint can't be passed on in it.
        private Optional<PlainAnswer> answerUnlessBegun(PlainAnswer answer) throws CallException {
            if (begun) {
                throw attempts.toException(
                        new Failure.IncompleteAnswer("the stream broke off and could not be resumed"));
            }
            return Optional.of(answer);
        }

        // Once a stream has begun, resuming it requires the numeric id of its last event.
        private boolean tryAcquireRetry() {
            boolean resumable = !begun || lastEventId.isPresent();
            return request.idempotent() && resumable && fault.isEmpty() && attempts.tryAcquireRetry();
        }

        private Attempt attempt() throws CallException {
            try (EndpointSource.Slot slot = attempts.acquire()) {
                if (attempts.remainingMs() <= 0) {
                    throw attempts.toException(new Failure.DeadlineExceeded());
                }
                Spans.Span span = dependencies
                        .spans()
                        .start("stream", request.trace())
                        .set("endpoint", slot.endpoint().value());
                Attempt attempt = send(slot);
                span.end(attempt instanceof Attempt.Complete ? "ok" : "failed");
                return attempt;
            }
        }

        private Attempt send(EndpointSource.Slot slot) {
            attempts.attemptStarted();
            splitter = new EventSplitter(this::onEvent);
            head = Optional.empty();
            otherMediaType = false;
            stalled = false;
            lastEventMs = dependencies.clock().nowMs();
            try {
                HttpAnswer answer =
                        client.stream(request, slot, attempts.streamLimits(), begun ? lastEventId.orElse(0) : 0, this);
                return answer.status() == OK ? ended(slot) : answered(slot, answer);
            } catch (HttpFailure.NotSent e) {
                return new Attempt.NotRun(attempts.unreachable(slot, e));
            } catch (HttpFailure e) {
                attempts.ended(slot, e);
                return broken(slot, "the stream broke off: " + e.getMessage());
            }
        }

        private Attempt ended(EndpointSource.Slot slot) {
            if (fault.isPresent()) {
                return new Attempt.Broken(fault.get());
            }
            if (otherMediaType) {
                return faulty(slot, "the response is not of type " + mediaType);
            }
            if (stalled) {
                return faulty(slot, "the endpoint sends bytes but no event");
            }
            if (!splitter.atBoundary()) {
                return faulty(slot, "the stream ended within an event");
            }
            if (!begin()) {
                return new Attempt.Broken(fault.orElseThrow());
            }
            attempts.ended(slot, AttemptEnd.ANSWERED);
            return new Attempt.Complete();
        }

        private Attempt answered(EndpointSource.Slot slot, HttpAnswer answer) {
            BackEndRefusal refusal = client.refusal(answer);
            if (refusal.notRun()) {
                return new Attempt.NotRun(attempts.refused(slot, refusal));
            }
            attempts.answered();
            attempts.ended(slot, answer);
            return new Attempt.Answered(client.answer(answer));
        }

        private Attempt faulty(EndpointSource.Slot slot, String detail) {
            boolean stopped = cancellation.reason().isPresent();
            attempts.ended(slot, stopped ? AttemptEnd.STOPPED : AttemptEnd.BROKEN);
            return broken(slot, detail);
        }

        private Attempt broken(EndpointSource.Slot slot, String detail) {
            dependencies.metrics().brokenAnswers.inc();
            attempts.logFailed(slot, detail + ", last event " + lastEventId.orElse(0));
            if (cancellation.reason().isPresent()) {
                return new Attempt.Broken(
                        Cancellation.failure(cancellation.reason().get()));
            }
            return new Attempt.Broken(
                    attempts.remainingMs() <= 0
                            ? new Failure.DeadlineExceeded()
                            : new Failure.IncompleteAnswer(detail));
        }

        @Override
        public boolean head(HttpAnswer answer) {
            attempts.answered();
            if (begun) {
                // Without a body, a page or a document would look like the end of the stream.
                otherMediaType = !mediaType(answer).equals(mediaType);
                return !otherMediaType;
            }
            head = Optional.of(client.answer(answer));
            mediaType = mediaType(answer);
            return true;
        }

        // Passes on the head of the first attempt that has an event, or that is complete without one.
        private boolean begin() {
            if (begun) {
                return true;
            }
            begun = true;
            return deliver(() -> receiver.begin(head.orElseThrow()));
        }

        private static String mediaType(HttpAnswer head) {
            String type = head.header("content-type").orElse("");
            int parameters = type.indexOf(';');
            return (parameters < 0 ? type : type.substring(0, parameters))
                    .strip()
                    .toLowerCase(Locale.ROOT);
        }

        @Override
        public boolean piece(byte[] piece) {
            boolean taken = splitter.accept(piece);
            stalled = attempts.mayRepeat()
                    && dependencies.clock().nowMs() - lastEventMs
                            > dependencies.limits().progressMs();
            if (stalled) {
                return false;
            }
            if (!taken && fault.isEmpty()) {
                fault = Optional.of(new Failure.IncompleteAnswer("the endpoint's events cannot be followed"));
            }
            return taken;
        }

        // Event ids must increase by one, also after a resume, so that no event is lost or repeated.
        private boolean onEvent(OptionalLong id, byte[] bytes) {
            boolean follows =
                    lastEventId.isEmpty() || (id.isPresent() && id.getAsLong() == lastEventId.getAsLong() + 1);
            if (!follows) {
                return false;
            }
            lastEventId = id;
            lastEventMs = dependencies.clock().nowMs();
            return begin() && deliver(() -> receiver.event(bytes));
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
