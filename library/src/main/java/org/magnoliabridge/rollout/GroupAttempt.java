package org.magnoliabridge.rollout;

import java.util.List;
import java.util.stream.IntStream;
import org.magnoliabridge.external.ObjectKey;
import org.magnoliabridge.external.ObjectStore;
import org.magnoliabridge.external.StoreReply;
import org.magnoliabridge.external.StoreRequest;

/** One attempt at a group: looks up a stored body, or generates the samples and stores the body. */
final class GroupAttempt {
    /** Longest wait for a store reply; longer than the store client's own timeout, which gives an unknown outcome. */
    static final long STORE_TIMEOUT_MS = 5_000;

    static final long RETRY_MS = 500;

    private enum Phase {
        LOOK_UP,
        GENERATE,
        WRITE_PARTS,
        WRITE_MAIN,
        STORED
    }

    final StepSpec.Group spec;
    final int number;
    final List<SampleState> samples;
    private final RunningStep step;
    private Phase phase = Phase.LOOK_UP;
    private StoredBody body;
    private StoredBody.Manifest storedManifest;
    private int nextPart;
    // Tag of the store request in flight, or 0.
    private long tag;
    private long requestedMs;
    private long nextRequestMs;

    GroupAttempt(RunningStep step, StepSpec.Group group, int attempt) {
        this.step = step;
        this.spec = group;
        this.number = attempt;
        this.samples = IntStream.range(0, step.spec().samplesPerGroup())
                .mapToObj(i -> new SampleState(new RunnerEffect.SampleRef(step.ref(), group.id(), attempt, i)))
                .toList();
    }

    boolean isGenerating() {
        return phase == Phase.GENERATE;
    }

    /** Returns the manifest of the stored body, or null while there is none. */
    StoredBody.Manifest storedManifest() {
        return storedManifest;
    }

    boolean awaits(long replyTag) {
        return tag != 0 && tag == replyTag;
    }

    long finishedSamples() {
        return samples.stream().filter(s -> s.result != null).count();
    }

    void stop(RunnerCore.InputContext context) {
        samples.forEach(s -> s.reset(context));
    }

    void proceed(RunnerCore.InputContext context) {
        if (tag != 0 && context.nowMs - requestedMs >= STORE_TIMEOUT_MS) {
            reply(new StoreReply.Unknown(), context);
        }
        if (phase == Phase.GENERATE && finishedSamples() == samples.size()) {
            body = StoredBody.of(new GroupBody(
                    spec.id(), number, samples.stream().map(s -> s.result).toList()));
            phase = Phase.WRITE_PARTS;
        }
        if (tag == 0 && context.nowMs >= nextRequestMs) {
            request(context);
        }
    }

    private void request(RunnerCore.InputContext context) {
        ObjectKey key = step.ref().bodyKey(spec.id(), number);
        switch (phase) {
            case LOOK_UP -> request(new StoreRequest.Read(key), context);
            case WRITE_PARTS -> {
                if (nextPart == body.parts().size()) {
                    phase = Phase.WRITE_MAIN;
                    request(context);
                } else {
                    ObjectKey part = step.ref().partKey(spec.id(), number, body.digest(), nextPart);
                    request(
                            new StoreRequest.Write(
                                    part, ObjectStore.ABSENT, body.parts().get(nextPart)),
                            context);
                }
            }
            case WRITE_MAIN -> {
                long expected = context.uses(Mechanism.BODY_CREATE_IF_ABSENT) ? ObjectStore.ABSENT : -1;
                request(new StoreRequest.Write(key, expected, body.main()), context);
            }
            case GENERATE, STORED -> {}
            default -> throw new IllegalStateException("unknown phase " + phase);
        }
    }

    private void request(StoreRequest request, RunnerCore.InputContext context) {
        tag = context.sendToStore(step, request);
        requestedMs = context.nowMs;
    }

    void reply(StoreReply reply, RunnerCore.InputContext context) {
        tag = 0;
        switch (reply) {
            case StoreReply.Found found -> onFound(found.object().value(), context);
            case StoreReply.NotFound none -> phase = body == null ? Phase.GENERATE : Phase.WRITE_MAIN;
            case StoreReply.Written written -> onWritten(context);
            case StoreReply.Conflict conflict -> {
                // A part's key contains the body's digest, so an existing part has the same bytes.
                // An existing body may differ.
                if (phase == Phase.WRITE_PARTS) {
                    nextPart++;
                } else {
                    phase = Phase.LOOK_UP;
                }
            }
            case StoreReply.Unknown unknown -> {
                nextRequestMs = context.nowMs + RETRY_MS;
                if (phase == Phase.WRITE_MAIN) {
                    phase = Phase.LOOK_UP;
                }
            }
            case StoreReply.Unavailable down -> nextRequestMs = context.nowMs + RETRY_MS;
            case StoreReply.Listed listed -> nextRequestMs = context.nowMs + RETRY_MS;
        }
    }

    private void onWritten(RunnerCore.InputContext context) {
        if (phase == Phase.WRITE_PARTS) {
            nextPart++;
        } else if (phase == Phase.WRITE_MAIN) {
            markStored(
                    new StoredBody.Manifest(body.parts().size(), body.digest(), body.minVersion(), body.tokens()),
                    context);
        }
    }

    private void onFound(byte[] main, RunnerCore.InputContext context) {
        try {
            markStored(StoredBody.describe(main), context);
        } catch (MalformedStepException e) {
            // The object under the attempt's key can't be parsed. The group makes no progress until an operator
            // intervenes.
            nextRequestMs = context.nowMs + STORE_TIMEOUT_MS;
        }
    }

    private void markStored(StoredBody.Manifest manifest, RunnerCore.InputContext context) {
        storedManifest = manifest;
        phase = Phase.STORED;
        body = null;
        stop(context);
    }
}
