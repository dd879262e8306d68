package org.magnoliabridge.rollout;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.magnoliabridge.external.ObjectStore;
import org.magnoliabridge.external.StoreReply;
import org.magnoliabridge.external.StoreRequest;

/** This node's work on one step: the attempts at its groups and the updates of its head. */
final class RunningStep {
    /** How long a step keeps running after a trainer last asked for its samples. */
    static final long DEMAND_TIMEOUT_MS = 120_000;

    /** Minimum interval of head reads while trainers poll; reads show replaced entries and another runner's groups. */
    static final long HEAD_REFRESH_MS = 1_000;

    /** Time limit of a generation until enough samples have finished to derive it from their median duration. */
    static final long GENERATION_TIMEOUT_MS = 120_000;

    static final long MIN_GENERATION_TIMEOUT_MS = 10_000;
    static final long SCORE_TIMEOUT_MS = 10_000;
    static final long RETRY_MS = GroupAttempt.RETRY_MS;

    private final StepRef ref;
    private final Map<String, GroupAttempt> attempts = new LinkedHashMap<>();
    private final StragglerRule stragglers = new StragglerRule();
    private StepHead head;
    private long headVersion;
    private long headReadMs = Long.MIN_VALUE / 2;
    private long trainerVersion;
    private long demandUntilMs;
    private boolean refreshRequested = true;
    // Tag of the head request in flight, or 0.
    private long tag;
    private long requestedMs;
    private StepHead proposedHead;
    private long nextRequestMs;
    private boolean headMissing;

    RunningStep(StepRef ref) {
        this.ref = ref;
    }

    StepRef ref() {
        return ref;
    }

    StepSpec spec() {
        return head.spec();
    }

    boolean isIdle(long nowMs) {
        return headMissing || nowMs >= demandUntilMs || (head != null && head.isClosed());
    }

    void nudge(long version, RunnerCore.InputContext context) {
        trainerVersion = Math.max(trainerVersion, version);
        demandUntilMs = context.nowMs + DEMAND_TIMEOUT_MS;
        refreshRequested = true;
    }

    void stop(RunnerCore.InputContext context) {
        attempts.values().forEach(a -> a.stop(context));
        attempts.clear();
    }

    void reply(long replyTag, StoreReply reply, RunnerCore.InputContext context) {
        if (replyTag == tag) {
            onHeadReply(reply, context);
        } else {
            for (GroupAttempt attempt : attempts.values()) {
                if (attempt.awaits(replyTag)) {
                    attempt.reply(reply, context);
                }
            }
        }
    }

    private void onHeadReply(StoreReply reply, RunnerCore.InputContext context) {
        tag = 0;
        StepHead written = proposedHead;
        proposedHead = null;
        switch (reply) {
            case StoreReply.Found found -> {
                try {
                    updateHead(
                            StepJson.head(found.object().value()),
                            found.object().version());
                } catch (MalformedStepException e) {
                    nextRequestMs = context.nowMs + RETRY_MS;
                }
            }
            case StoreReply.NotFound none -> headMissing = true;
            case StoreReply.Written done -> {
                if (written != null) {
                    updateHead(written, done.version());
                }
            }
            case StoreReply.Conflict conflict -> refreshNow();
            case StoreReply.Unknown unknown -> {
                refreshNow();
                nextRequestMs = context.nowMs + RETRY_MS;
            }
            case StoreReply.Unavailable down -> {
                refreshNow();
                nextRequestMs = context.nowMs + RETRY_MS;
            }
            case StoreReply.Listed listed -> refreshNow();
        }
    }

    private void refreshNow() {
        refreshRequested = true;
        headReadMs = Long.MIN_VALUE / 2;
    }

    private void updateHead(StepHead read, long version) {
        head = read;
        headVersion = version;
        headReadMs = requestedMs;
        trainerVersion = Math.max(trainerVersion, head.trainerVersion());
    }

    void generated(RunnerInput.Generated result, RunnerCore.InputContext context) {
        SampleState sample = findSample(result.generation());
        if (sample == null || sample.completion != null) {
            return;
        }
        boolean covered = WeightRange.covers(result.versions(), result.tokens());
        if ((covered || !context.uses(Mechanism.GAP_CHECK))
                && !result.versions().isEmpty()
                && WeightRange.minVersion(result.versions()) >= head.oldestAllowed(trainerVersion)) {
            stragglers.recordDuration(context.nowMs - sample.startMsByGeneration.get(result.generation()));
            sample.accept(result, context);
            requestScore(sample, context);
        } else {
            generationFailed(result.generation(), context);
        }
    }

    void generationFailed(String generation, RunnerCore.InputContext context) {
        SampleState sample = findSample(generation);
        if (sample != null && sample.startMsByGeneration.remove(generation) != null) {
            context.generationEnded(generation);
            context.forgetGeneration(generation);
            sample.nextStartMs = context.nowMs + RETRY_MS;
        }
    }

    void scored(RunnerInput.Scored result, RunnerCore.InputContext context) {
        SampleState sample = findSample(result.generation());
        if (sample != null && sample.completion != null && sample.result == null) {
            sample.finish(result.score(), context);
        }
    }

    void scoreFailed(String generation, RunnerCore.InputContext context) {
        SampleState sample = findSample(generation);
        if (sample != null) {
            // Moved back so that the next score request is due after RETRY_MS instead of SCORE_TIMEOUT_MS.
            sample.scoreRequestedMs = context.nowMs - SCORE_TIMEOUT_MS + RETRY_MS;
        }
    }

    private SampleState findSample(String generation) {
        for (GroupAttempt attempt : attempts.values()) {
            for (SampleState sample : attempt.samples) {
                boolean completed = sample.completion != null
                        && sample.completion.generation().equals(generation);
                if (completed || sample.startMsByGeneration.containsKey(generation)) {
                    return sample;
                }
            }
        }
        return null;
    }

    private void requestScore(SampleState sample, RunnerCore.InputContext context) {
        sample.scoreRequestedMs = context.nowMs;
        context.score(sample.completion.generation(), prompt(sample.ref.group()), sample.completion.text());
    }

    private String prompt(String group) {
        return attempts.get(group).spec.prompt();
    }

    void proceed(RunnerCore.InputContext context) {
        if (tag != 0 && context.nowMs - requestedMs >= GroupAttempt.STORE_TIMEOUT_MS) {
            onHeadReply(new StoreReply.Unknown(), context);
        }
        if (head != null) {
            syncGroups(context);
            for (GroupAttempt attempt : attempts.values()) {
                discardStaleSamplesAndRetryScores(attempt, context);
                attempt.proceed(context);
            }
            if (context.nowMs < head.openedMs() + spec().deadlineMs()) {
                startSamples(context);
            }
        }
        if (tag == 0 && context.nowMs >= nextRequestMs) {
            sendHeadRequest(context);
        }
    }

    /** Makes {@link #attempts} contain exactly the groups that have no live entry, each with its next attempt. */
    private void syncGroups(RunnerCore.InputContext context) {
        for (StepSpec.Group group : spec().groups()) {
            GroupAttempt current = attempts.get(group.id());
            int nextAttempt = head.nextAttempt(group.id());
            boolean committed = head.liveEntry(group.id()).isPresent();
            if (current != null && (committed || current.number != nextAttempt)) {
                current.stop(context);
                attempts.remove(group.id());
                current = null;
            }
            if (current == null && !committed) {
                attempts.put(group.id(), new GroupAttempt(this, group, nextAttempt));
            }
        }
    }

    private void discardStaleSamplesAndRetryScores(GroupAttempt attempt, RunnerCore.InputContext context) {
        long oldest = head.oldestAllowed(trainerVersion);
        for (SampleState sample : attempt.samples) {
            if (!attempt.isGenerating()) {
                return;
            }
            if (sample.completion != null && WeightRange.minVersion(sample.completion.versions()) < oldest) {
                sample.reset(context);
            } else if (sample.completion != null
                    && sample.result == null
                    && context.nowMs - sample.scoreRequestedMs >= SCORE_TIMEOUT_MS) {
                requestScore(sample, context);
            }
        }
    }

    private void startSamples(RunnerCore.InputContext context) {
        long minVersion = minVersionToStart(context);
        RunnerInput.Engines engines = context.engines(spec().service());
        boolean enginesNewEnough = engines == null || engines.newestVersion() >= minVersion;
        long limitMs = stragglers.generationTimeoutMs(GENERATION_TIMEOUT_MS, MIN_GENERATION_TIMEOUT_MS);
        for (GroupAttempt attempt : attempts.values()) {
            for (SampleState sample : attempt.samples) {
                cancelTimedOutGenerations(sample, limitMs, context);
                if (!attempt.isGenerating() || !enginesNewEnough || !context.mayGenerate()) {
                    continue;
                }
                boolean first = sample.isUnstarted() && context.nowMs >= sample.nextStartMs;
                if (first || stragglers.shouldHedge(sample, attempt, spec(), context.nowMs)) {
                    start(sample, attempt, minVersion, !first, context);
                }
            }
        }
    }

    private void cancelTimedOutGenerations(SampleState sample, long limitMs, RunnerCore.InputContext context) {
        for (Map.Entry<String, Long> generation : List.copyOf(sample.startMsByGeneration.entrySet())) {
            if (context.nowMs - generation.getValue() >= limitMs) {
                sample.startMsByGeneration.remove(generation.getKey());
                context.cancel(generation.getKey());
            }
        }
    }

    private void start(
            SampleState sample, GroupAttempt attempt, long minVersion, boolean hedge, RunnerCore.InputContext context) {
        String generation = context.generate(this, sample.ref, attempt.spec.prompt(), minVersion, hedge);
        sample.startMsByGeneration.put(generation, context.nowMs);
        if (hedge) {
            sample.hedged = true;
            stragglers.recordHedge(spec().maxTokens());
        }
    }

    /**
     * Returns the oldest version that is still allowed when a sample started now is expected to finish. The expected
     * advance is capped at the maximum staleness, because otherwise a slow service could never start a sample.
     */
    private long minVersionToStart(RunnerCore.InputContext context) {
        RunnerInput.Engines engines = context.engines(spec().service());
        long periodMs = engines == null ? 0 : engines.versionPeriodMs();
        long advance = periodMs <= 0 ? 0 : Math.min(stragglers.medianMs() / periodMs, spec().maxStaleness());
        return Math.max(0, head.oldestAllowed(trainerVersion) + advance);
    }

    private void sendHeadRequest(RunnerCore.InputContext context) {
        StepHead next = head;
        List<GroupAttempt> ready = new ArrayList<>();
        for (GroupAttempt attempt : attempts.values()) {
            if (attempt.storedManifest() != null) {
                ready.add(attempt);
            }
        }
        if (head == null || (refreshRequested && context.nowMs - headReadMs >= HEAD_REFRESH_MS)) {
            refreshRequested = false;
            request(new StoreRequest.Read(ref.headKey()), null, context);
            return;
        }
        for (GroupAttempt attempt : ready) {
            StoredBody.Manifest body = attempt.storedManifest();
            next = next.append(attempt.spec.id(), attempt.number, body.digest(), body.minVersion(), body.tokens());
        }
        if (!next.equals(head)) {
            long expected = context.uses(Mechanism.HEAD_CONDITIONAL_UPDATE) ? headVersion : -1;
            request(new StoreRequest.Write(ref.headKey(), expected, StepJson.head(next)), next, context);
        }
    }

    private void request(StoreRequest request, StepHead proposal, RunnerCore.InputContext context) {
        if (request instanceof StoreRequest.Write write && write.value().length > ObjectStore.MAX_VALUE_BYTES) {
            throw new IllegalStateException(
                    "step head of " + ref + " exceeds " + ObjectStore.MAX_VALUE_BYTES + " bytes");
        }
        proposedHead = proposal;
        tag = context.sendToStore(this, request);
        requestedMs = context.nowMs;
    }
}
