package org.magnoliabridge.rollout;

import java.util.List;
import java.util.stream.IntStream;
import org.magnoliabridge.external.ObjectKey;
import org.magnoliabridge.external.ObjectStore;
import org.magnoliabridge.external.StoreReply;
import org.magnoliabridge.external.StoreRequest;

/** One attempt at a group: from the look-up of a stored body, over generation, to the stored body. */
final class GroupRun {
    /** Longest wait for a store answer; longer than the client's own timeout, whose answer is then "unknown". */
    static final long STORE_TIMEOUT_MS = 5_000;

    static final long RETRY_MS = 500;

    private enum Phase {
        LOOK_UP,
        GENERATE,
        WRITE_PARTS,
        WRITE_MAIN,
        STORED
    }

    final StepSpec.Group group;
    final int attempt;
    final List<SampleRun> samples;
    private final RunningStep step;
    private Phase phase = Phase.LOOK_UP;
    private StoredBody body;
    private StoredBody.Manifest stored;
    private int nextPart;
    private long tag;
    private long requestMs;
    private long notBeforeMs;

    GroupRun(RunningStep step, StepSpec.Group group, int attempt) {
        this.step = step;
        this.group = group;
        this.attempt = attempt;
        this.samples = IntStream.range(0, step.spec().samplesPerGroup())
                .mapToObj(i -> new SampleRun(new RunnerEffect.SampleRef(step.ref(), group.group(), attempt, i)))
                .toList();
    }

    boolean isGenerating() {
        return phase == Phase.GENERATE;
    }

    /** Returns the stored body, or null while there is none. */
    StoredBody.Manifest stored() {
        return stored;
    }

    boolean owns(long replyTag) {
        return tag != 0 && tag == replyTag;
    }

    long finished() {
        return samples.stream().filter(s -> s.sample != null).count();
    }

    void stop(RunnerCore.Turn turn) {
        samples.forEach(s -> s.reset(turn));
    }

    void proceed(RunnerCore.Turn turn) {
        if (tag != 0 && turn.nowMs - requestMs >= STORE_TIMEOUT_MS) {
            reply(new StoreReply.Unknown(), turn);
        }
        if (phase == Phase.GENERATE && finished() == samples.size()) {
            body = StoredBody.of(new GroupBody(
                    group.group(), attempt, samples.stream().map(s -> s.sample).toList()));
            phase = Phase.WRITE_PARTS;
        }
        if (tag == 0 && turn.nowMs >= notBeforeMs) {
            request(turn);
        }
    }

    private void request(RunnerCore.Turn turn) {
        ObjectKey key = step.ref().bodyKey(group.group(), attempt);
        switch (phase) {
            case LOOK_UP -> request(new StoreRequest.Read(key), turn);
            case WRITE_PARTS -> {
                if (nextPart == body.parts().size()) {
                    phase = Phase.WRITE_MAIN;
                    request(turn);
                } else {
                    ObjectKey part = step.ref().partKey(group.group(), attempt, body.digest(), nextPart);
                    request(
                            new StoreRequest.Write(
                                    part, ObjectStore.ABSENT, body.parts().get(nextPart)),
                            turn);
                }
            }
            case WRITE_MAIN -> {
                long expected = turn.uses(Mechanism.BODY_CREATE_IF_ABSENT) ? ObjectStore.ABSENT : -1;
                request(new StoreRequest.Write(key, expected, body.main()), turn);
            }
            case GENERATE, STORED -> {}
            default -> throw new IllegalStateException("unknown phase " + phase);
        }
    }

    private void request(StoreRequest request, RunnerCore.Turn turn) {
        tag = turn.store(step, request);
        requestMs = turn.nowMs;
    }

    void reply(StoreReply reply, RunnerCore.Turn turn) {
        tag = 0;
        switch (reply) {
            case StoreReply.Found found -> found(found.object().value(), turn);
            case StoreReply.NotFound none -> phase = body == null ? Phase.GENERATE : Phase.WRITE_MAIN;
            case StoreReply.Written written -> written(turn);
            case StoreReply.Conflict conflict -> {
                // A part's key holds its digest, so an existing part has the same bytes; an existing body may differ.
                if (phase == Phase.WRITE_PARTS) {
                    nextPart++;
                } else {
                    phase = Phase.LOOK_UP;
                }
            }
            case StoreReply.Unknown unknown -> {
                notBeforeMs = turn.nowMs + RETRY_MS;
                if (phase == Phase.WRITE_MAIN) {
                    phase = Phase.LOOK_UP;
                }
            }
            case StoreReply.Unavailable down -> notBeforeMs = turn.nowMs + RETRY_MS;
            case StoreReply.Listed listed -> notBeforeMs = turn.nowMs + RETRY_MS;
        }
    }

    private void written(RunnerCore.Turn turn) {
        if (phase == Phase.WRITE_PARTS) {
            nextPart++;
        } else if (phase == Phase.WRITE_MAIN) {
            store(new StoredBody.Manifest(body.parts().size(), body.digest(), body.minVersion(), body.tokens()), turn);
        }
    }

    private void found(byte[] main, RunnerCore.Turn turn) {
        try {
            store(StoredBody.describe(main), turn);
        } catch (MalformedStepException e) {
            // The attempt's key is taken by something unreadable; the step waits for an operator.
            notBeforeMs = turn.nowMs + STORE_TIMEOUT_MS;
        }
    }

    private void store(StoredBody.Manifest manifest, RunnerCore.Turn turn) {
        stored = manifest;
        phase = Phase.STORED;
        body = null;
        stop(turn);
    }
}
