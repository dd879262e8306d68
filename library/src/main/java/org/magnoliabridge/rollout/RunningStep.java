package org.magnoliabridge.rollout;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.magnoliabridge.external.ObjectStore;
import org.magnoliabridge.external.StoreReply;
import org.magnoliabridge.external.StoreRequest;

/** The work of this node on one step. */
final class RunningStep {
    /** How long a step is worked on after a trainer last asked for it. */
    static final long DEMAND_TIMEOUT_MS = 120_000;

    /** How often the head is read while trainers poll, to see replaced entries and another runner's work. */
    static final long HEAD_REFRESH_MS = 1_000;

    /** Longest generation before enough samples have finished to know better. */
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
        attempts.values().forEach(g -> g.stop(context));
        attempts.clear();
    }

    void reply(long replyTag, StoreReply reply, RunnerCore.InputContext context) {
        if (replyTag == tag) {
            onHeadReply(reply, context);
        } else {
            for (GroupAttempt group : attempts.values()) {
                if (group.awaits(replyTag)) {
                    group.reply(reply, context);
                }
            }
        }
    }

    private void onHeadReply(StoreReply reply, RunnerCore.InputContext context) {
        tag = 0;
        StepHead sent = proposedHead;
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
                if (sent != null) {
                    updateHead(sent, done.version());
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
            // Asked again by the next turn after a retry interval.
            sample.scoreRequestedMs = context.nowMs - SCORE_TIMEOUT_MS + RETRY_MS;
        }
    }

    private SampleState findSample(String generation) {
        for (GroupAttempt group : attempts.values()) {
            for (SampleState sample : group.samples) {
                boolean won = sample.completion != null
                        && sample.completion.generation().equals(generation);
                if (won || sample.startMsByGeneration.containsKey(generation)) {
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
            for (GroupAttempt group : attempts.values()) {
                discardStaleSamplesAndRetryScores(group, context);
                group.proceed(context);
            }
            if (context.nowMs < head.openedMs() + spec().deadlineMs()) {
                startSamples(context);
            }
        }
        if (tag == 0 && context.nowMs >= nextRequestMs) {
            sendHeadRequest(context);
        }
    }

    /** Keeps exactly the groups that have no live entry, each with its next attempt. */
    private void syncGroups(RunnerCore.InputContext context) {
        for (StepSpec.Group group : spec().groups()) {
            GroupAttempt current = attempts.get(group.id());
            int attempt = head.nextAttempt(group.id());
            boolean decided = head.liveEntry(group.id()).isPresent();
            if (current != null && (decided || current.number != attempt)) {
                current.stop(context);
                attempts.remove(group.id());
                current = null;
            }
            if (current == null && !decided) {
                attempts.put(group.id(), new GroupAttempt(this, group, attempt));
            }
        }
    }

    private void discardStaleSamplesAndRetryScores(GroupAttempt group, RunnerCore.InputContext context) {
        long oldest = head.oldestAllowed(trainerVersion);
        for (SampleState sample : group.samples) {
            if (!group.isGenerating()) {
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
        boolean fresh = engines == null || engines.newestVersion() >= minVersion;
        long limitMs = stragglers.generationTimeoutMs(GENERATION_TIMEOUT_MS, MIN_GENERATION_TIMEOUT_MS);
        for (GroupAttempt group : attempts.values()) {
            for (SampleState sample : group.samples) {
                cancelTimedOutGenerations(sample, limitMs, context);
                if (!group.isGenerating() || !fresh || !context.mayGenerate()) {
                    continue;
                }
                boolean first = sample.isUnstarted() && context.nowMs >= sample.nextStartMs;
                if (first || stragglers.shouldHedge(sample, group, spec(), context.nowMs)) {
                    start(sample, group, minVersion, !first, context);
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
            SampleState sample, GroupAttempt group, long minVersion, boolean hedge, RunnerCore.InputContext context) {
        String name = context.generate(this, sample.ref, group.spec.prompt(), minVersion, hedge);
        sample.startMsByGeneration.put(name, context.nowMs);
        if (hedge) {
            sample.hedged = true;
            stragglers.recordHedge(spec().maxTokens());
        }
    }

    /**
     * Returns the oldest version that is still allowed when a sample started now is expected to finish. The expected
     * advance is at most the bound, or a slow service could never start.
     */
    private long minVersionToStart(RunnerCore.InputContext context) {
        RunnerInput.Engines engines = context.engines(spec().service());
        long period = engines == null ? 0 : engines.versionPeriodMs();
        long advance = period <= 0 ? 0 : Math.min(stragglers.medianMs() / period, spec().maxStaleness());
        return Math.max(0, head.oldestAllowed(trainerVersion) + advance);
    }

    private void sendHeadRequest(RunnerCore.InputContext context) {
        StepHead next = head;
        List<GroupAttempt> ready = new ArrayList<>();
        for (GroupAttempt group : attempts.values()) {
            if (group.storedManifest() != null) {
                ready.add(group);
            }
        }
        if (head == null || (refreshRequested && context.nowMs - headReadMs >= HEAD_REFRESH_MS)) {
            refreshRequested = false;
            request(new StoreRequest.Read(ref.headKey()), null, context);
            return;
        }
        for (GroupAttempt group : ready) {
            StoredBody.Manifest body = group.storedManifest();
            next = next.append(group.spec.id(), group.number, body.digest(), body.minVersion(), body.tokens());
        }
        if (!next.equals(head)) {
            long expected = context.uses(Mechanism.HEAD_CONDITIONAL_UPDATE) ? headVersion : -1;
            request(new StoreRequest.Write(ref.headKey(), expected, StepJson.head(next)), next, context);
        }
    }

    private void request(StoreRequest request, StepHead proposal, RunnerCore.InputContext context) {
        if (request instanceof StoreRequest.Write write && write.value().length > ObjectStore.MAX_VALUE_BYTES) {
            throw new IllegalStateException("step head of " + ref + " is too large");
        }
        proposedHead = proposal;
        tag = context.sendToStore(this, request);
        requestedMs = context.nowMs;
    }
}
