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
    static final long DEMAND_MS = 120_000;

    /** How often the head is read while trainers poll, to see replaced entries and another runner's work. */
    static final long HEAD_REFRESH_MS = 1_000;

    /** Longest generation before enough samples have finished to know better. */
    static final long GENERATION_TIMEOUT_MS = 120_000;

    static final long MIN_GENERATION_TIMEOUT_MS = 10_000;
    static final long SCORE_TIMEOUT_MS = 10_000;
    static final long RETRY_MS = GroupRun.RETRY_MS;

    private final StepRef ref;
    private final Map<String, GroupRun> groups = new LinkedHashMap<>();
    private final StragglerRule stragglers = new StragglerRule();
    private StepHead head;
    private long headVersion;
    private long headMs = Long.MIN_VALUE / 2;
    private long trainerVersion;
    private long demandUntilMs;
    private boolean refresh = true;
    private long tag;
    private long requestMs;
    private StepHead written;
    private long notBeforeMs;
    private boolean missing;

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
        return missing || nowMs >= demandUntilMs || (head != null && head.isClosed());
    }

    void nudge(long version, RunnerCore.Turn turn) {
        trainerVersion = Math.max(trainerVersion, version);
        demandUntilMs = turn.nowMs + DEMAND_MS;
        refresh = true;
    }

    void stop(RunnerCore.Turn turn) {
        groups.values().forEach(g -> g.stop(turn));
        groups.clear();
    }

    void reply(long replyTag, StoreReply reply, RunnerCore.Turn turn) {
        if (replyTag == tag) {
            headReply(reply, turn);
        } else {
            for (GroupRun group : groups.values()) {
                if (group.owns(replyTag)) {
                    group.reply(reply, turn);
                }
            }
        }
    }

    private void headReply(StoreReply reply, RunnerCore.Turn turn) {
        tag = 0;
        StepHead sent = written;
        written = null;
        switch (reply) {
            case StoreReply.Found found -> {
                try {
                    loaded(StepJson.head(found.object().value()), found.object().version());
                } catch (MalformedStepException e) {
                    notBeforeMs = turn.nowMs + RETRY_MS;
                }
            }
            case StoreReply.NotFound none -> missing = true;
            case StoreReply.Written done -> {
                if (sent != null) {
                    loaded(sent, done.version());
                }
            }
            case StoreReply.Conflict conflict -> refreshNow();
            case StoreReply.Unknown unknown -> {
                refreshNow();
                notBeforeMs = turn.nowMs + RETRY_MS;
            }
            case StoreReply.Unavailable down -> {
                refreshNow();
                notBeforeMs = turn.nowMs + RETRY_MS;
            }
            case StoreReply.Listed listed -> refreshNow();
        }
    }

    private void refreshNow() {
        refresh = true;
        headMs = Long.MIN_VALUE / 2;
    }

    private void loaded(StepHead read, long version) {
        head = read;
        headVersion = version;
        headMs = requestMs;
        trainerVersion = Math.max(trainerVersion, head.trainerVersion());
    }

    void generated(RunnerInput.Generated result, RunnerCore.Turn turn) {
        SampleRun sample = find(result.generation());
        if (sample == null || sample.answer != null) {
            return;
        }
        boolean covered = WeightRange.covers(result.versions(), result.tokens());
        if ((covered || !turn.uses(Mechanism.GAP_CHECK))
                && !result.versions().isEmpty()
                && WeightRange.minVersion(result.versions()) >= head.oldestAllowed(trainerVersion)) {
            stragglers.finished(turn.nowMs - sample.generations.get(result.generation()));
            sample.win(result, turn);
            askScore(sample, turn);
        } else {
            failed(result.generation(), turn);
        }
    }

    void failed(String generation, RunnerCore.Turn turn) {
        SampleRun sample = find(generation);
        if (sample != null && sample.generations.remove(generation) != null) {
            turn.ended(generation);
            turn.forget(generation);
            sample.notBeforeMs = turn.nowMs + RETRY_MS;
        }
    }

    void scored(RunnerInput.Scored result, RunnerCore.Turn turn) {
        SampleRun sample = find(result.generation());
        if (sample != null && sample.answer != null && sample.sample == null) {
            sample.finish(result.score(), turn);
        }
    }

    void scoreFailed(String generation, RunnerCore.Turn turn) {
        SampleRun sample = find(generation);
        if (sample != null) {
            // Asked again by the next turn after a retry interval.
            sample.scoreAskedMs = turn.nowMs - SCORE_TIMEOUT_MS + RETRY_MS;
        }
    }

    private SampleRun find(String generation) {
        for (GroupRun group : groups.values()) {
            for (SampleRun sample : group.samples) {
                boolean won =
                        sample.answer != null && sample.answer.generation().equals(generation);
                if (won || sample.generations.containsKey(generation)) {
                    return sample;
                }
            }
        }
        return null;
    }

    private void askScore(SampleRun sample, RunnerCore.Turn turn) {
        sample.scoreAskedMs = turn.nowMs;
        turn.score(sample.answer.generation(), prompt(sample.ref.group()), sample.answer.text());
    }

    private String prompt(String group) {
        return groups.get(group).group.prompt();
    }

    void proceed(RunnerCore.Turn turn) {
        if (tag != 0 && turn.nowMs - requestMs >= GroupRun.STORE_TIMEOUT_MS) {
            headReply(new StoreReply.Unknown(), turn);
        }
        if (head != null) {
            syncGroups(turn);
            for (GroupRun group : groups.values()) {
                discardOldSamples(group, turn);
                group.proceed(turn);
            }
            if (turn.nowMs < head.openedMs() + spec().deadlineMs()) {
                startSamples(turn);
            }
        }
        if (tag == 0 && turn.nowMs >= notBeforeMs) {
            headRequest(turn);
        }
    }

    /** Keeps exactly the groups that have no live entry, each with its next attempt. */
    private void syncGroups(RunnerCore.Turn turn) {
        for (StepSpec.Group group : spec().groups()) {
            GroupRun current = groups.get(group.group());
            int attempt = head.nextAttempt(group.group());
            boolean decided = head.live(group.group()).isPresent();
            if (current != null && (decided || current.attempt != attempt)) {
                current.stop(turn);
                groups.remove(group.group());
                current = null;
            }
            if (current == null && !decided) {
                groups.put(group.group(), new GroupRun(this, group, attempt));
            }
        }
    }

    private void discardOldSamples(GroupRun group, RunnerCore.Turn turn) {
        long oldest = head.oldestAllowed(trainerVersion);
        for (SampleRun sample : group.samples) {
            if (!group.isGenerating()) {
                return;
            }
            if (sample.answer != null && WeightRange.minVersion(sample.answer.versions()) < oldest) {
                sample.reset(turn);
            } else if (sample.answer != null
                    && sample.sample == null
                    && turn.nowMs - sample.scoreAskedMs >= SCORE_TIMEOUT_MS) {
                askScore(sample, turn);
            }
        }
    }

    private void startSamples(RunnerCore.Turn turn) {
        long minVersion = minVersionToStart(turn);
        RunnerInput.Engines engines = turn.engines(spec().service());
        boolean fresh = engines == null || engines.newestVersion() >= minVersion;
        long limitMs = stragglers.generationTimeoutMs(GENERATION_TIMEOUT_MS, MIN_GENERATION_TIMEOUT_MS);
        for (GroupRun group : groups.values()) {
            for (SampleRun sample : group.samples) {
                endSilent(sample, limitMs, turn);
                if (!group.isGenerating() || !fresh || !turn.mayGenerate()) {
                    continue;
                }
                boolean first = sample.isUnstarted() && turn.nowMs >= sample.notBeforeMs;
                if (first || stragglers.shouldHedge(sample, group, spec(), turn.nowMs)) {
                    start(sample, group, minVersion, !first, turn);
                }
            }
        }
    }

    private void endSilent(SampleRun sample, long limitMs, RunnerCore.Turn turn) {
        for (Map.Entry<String, Long> generation : List.copyOf(sample.generations.entrySet())) {
            if (turn.nowMs - generation.getValue() >= limitMs) {
                sample.generations.remove(generation.getKey());
                turn.cancel(generation.getKey());
            }
        }
    }

    private void start(SampleRun sample, GroupRun group, long minVersion, boolean hedge, RunnerCore.Turn turn) {
        String name = turn.generate(this, sample.ref, group.group.prompt(), minVersion, hedge);
        sample.generations.put(name, turn.nowMs);
        if (hedge) {
            sample.hedged = true;
            stragglers.hedged(spec().maxTokens());
        }
    }

    /**
     * Returns the oldest version that is still allowed when a sample started now is expected to finish. The expected
     * advance is at most the bound, or a slow service could never start.
     */
    private long minVersionToStart(RunnerCore.Turn turn) {
        RunnerInput.Engines engines = turn.engines(spec().service());
        long period = engines == null ? 0 : engines.versionPeriodMs();
        long advance = period <= 0 ? 0 : Math.min(stragglers.medianMs() / period, spec().maxStaleness());
        return Math.max(0, head.oldestAllowed(trainerVersion) + advance);
    }

    private void headRequest(RunnerCore.Turn turn) {
        StepHead next = head;
        List<GroupRun> ready = new ArrayList<>();
        for (GroupRun group : groups.values()) {
            if (group.stored() != null) {
                ready.add(group);
            }
        }
        if (head == null || (refresh && turn.nowMs - headMs >= HEAD_REFRESH_MS)) {
            refresh = false;
            request(new StoreRequest.Read(ref.headKey()), null, turn);
            return;
        }
        for (GroupRun group : ready) {
            StoredBody.Manifest body = group.stored();
            next = next.append(group.group.group(), group.attempt, body.digest(), body.minVersion(), body.tokens());
        }
        if (!next.equals(head)) {
            long expected = turn.uses(Mechanism.HEAD_CONDITIONAL_UPDATE) ? headVersion : -1;
            request(new StoreRequest.Write(ref.headKey(), expected, StepJson.head(next)), next, turn);
        }
    }

    private void request(StoreRequest request, StepHead proposal, RunnerCore.Turn turn) {
        if (request instanceof StoreRequest.Write write && write.value().length > ObjectStore.MAX_VALUE_BYTES) {
            throw new IllegalStateException("step head of " + ref + " is too large");
        }
        written = proposal;
        tag = turn.store(this, request);
        requestMs = turn.nowMs;
    }
}
