package org.magnoliabridge.standins;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Checks samples and generated answers against the tokens that the engines recorded: I1, I2, I3, I9. */
final class SampleChecks {
    private record Accepted(JsonNode sample, JsonNode line) {
        String text() {
            return sample.path("text").asText();
        }
    }

    private final DemoRecords records;

    SampleChecks(DemoRecords records) {
        this.records = records;
    }

    /** I1: the version named for each token is the one that produced it. */
    Verdict attribution() {
        Verdict verdict = new Verdict("I1", "tokens attributed");
        for (Accepted accepted : acceptedSamples()) {
            attribution(verdict, accepted.text(), accepted.sample().path("weight_versions"));
        }
        for (JsonNode call : records.observed("call")) {
            if (isAnswered(call, "chat")) {
                attribution(verdict, call.path("text").asText(), call.path("weight_versions"));
            }
        }
        return verdict;
    }

    private void attribution(Verdict verdict, String text, JsonNode ranges) {
        List<String> tokens = DemoRecords.tokensOf(text);
        int next = 0;
        for (JsonNode range : ranges) {
            boolean joins = range.path("from").asInt(-1) == next;
            next = range.path("to").asInt(-1);
            if (!joins || next > tokens.size()) {
                verdict.check(false, "the ranges " + ranges + " do not cover " + tokens.size() + " tokens");
                return;
            }
            for (int i = range.path("from").asInt(); i < next; i++) {
                DemoRecords.Origin origin = records.origin(tokens.get(i));
                verdict.check(
                        origin != null
                                && origin.version() == range.path("version").asLong(-1),
                        "token " + tokens.get(i) + " is attributed to version " + range.path("version") + ", "
                                + (origin == null ? "no engine produced it" : "version " + origin.version() + " did"));
            }
        }
        if (next != tokens.size()) {
            verdict.check(false, "the ranges " + ranges + " do not cover " + tokens.size() + " tokens");
        }
    }

    /** I2: no delivered sample is older than the bound, by the versions that the engines recorded. */
    Verdict staleness() {
        Verdict verdict = new Verdict("I2", "samples delivered");
        long oldest = 0;
        for (Accepted entry : acceptedSamples()) {
            long trainer = entry.line().path("trainer_version").asLong();
            long bound = entry.line().path("max_staleness").asLong();
            long staleness = 0;
            for (String token : DemoRecords.tokensOf(entry.text())) {
                DemoRecords.Origin origin = records.origin(token);
                staleness = Math.max(staleness, origin == null ? 0 : trainer - origin.version());
            }
            oldest = Math.max(oldest, staleness);
            verdict.check(
                    staleness <= bound,
                    "a sample of " + entry.line().path("run").asText() + " is " + staleness + " versions old");
        }
        verdict.note("oldest " + oldest + " versions");
        return verdict;
    }

    /** I3: each acknowledged step holds each sample of each group once, and nothing acknowledged is offered again. */
    Verdict exactlyOnce() {
        Verdict verdict = new Verdict("I3", "samples expected");
        for (JsonNode step : records.observed("step_done")) {
            step(verdict, step);
        }
        offersRepeat(verdict);
        Map<String, String> samplesOfGeneration = new HashMap<>();
        for (Accepted entry : acceptedSamples()) {
            JsonNode line = entry.line();
            String sample = slot(line, entry.sample());
            for (String token : DemoRecords.tokensOf(entry.text())) {
                String earlier = samplesOfGeneration.putIfAbsent(token, sample);
                if (earlier != null && !earlier.equals(sample)) {
                    verdict.check(false, "samples " + earlier + " and " + sample + " share token " + token);
                    break;
                }
            }
        }
        return verdict;
    }

    private void step(Verdict verdict, JsonNode step) {
        Map<String, Integer> counts = new HashMap<>();
        for (Accepted accepted : acceptedSamples()) {
            if (sameStep(accepted.line(), step)) {
                counts.merge(slot(accepted.line(), accepted.sample()), 1, Integer::sum);
            }
        }
        int expected = 0;
        for (JsonNode group : step.path("groups")) {
            for (int i = 0; i < step.path("samples_per_group").asInt(); i++) {
                String slot = slot(step, group.asText(), i);
                int count = counts.getOrDefault(slot, 0);
                verdict.check(count == 1, "sample " + slot + " was delivered " + count + " times");
                expected++;
            }
        }
        if (counts.size() > expected) {
            verdict.check(false, "step " + stepName(step) + " has " + (counts.size() - expected) + " unknown samples");
        }
    }

    private void offersRepeat(Verdict verdict) {
        Map<String, String> digests = new HashMap<>();
        for (JsonNode line : records.observed("delivery")) {
            String step = stepName(line);
            long seq = line.path("seq").asLong();
            String digest = line.path("digest").asText();
            String earlier = digests.putIfAbsent(step + "#" + seq, digest);
            if (earlier != null && !earlier.equals(digest)) {
                verdict.check(false, "sequence number " + seq + " of " + step + " has two contents");
            }
            // The trainer notes on each delivery the highest sequence number it had acknowledged before.
            if (line.path("acknowledged_before").asLong() >= seq) {
                verdict.check(
                        false, "sequence number " + seq + " of " + step + " was offered after its acknowledgement");
            }
        }
    }

    /** I9: answers are whole and belong to their own request. */
    Verdict wholeAnswers() {
        Verdict verdict = new Verdict("I9", "answers checked");
        for (JsonNode call : records.observed("call")) {
            if (isAnswered(call, "chat")) {
                String fault = answerFault(
                        call.path("text").asText(),
                        call.path("marker").asText(),
                        call.path("completion_tokens").asInt());
                verdict.check(fault.isEmpty(), "call " + call.path("marker").asText() + ": " + fault);
            } else if (isAnswered(call, "booking")) {
                verdict.check(
                        call.path("answer").path("request").equals(call.path("request")),
                        "call " + call.path("marker").asText() + " got another request's answer");
            }
        }
        for (Accepted entry : acceptedSamples()) {
            JsonNode sample = entry.sample();
            String marker = entry.line()
                    .path("markers")
                    .path(entry.line().path("group").asText())
                    .asText();
            String fault = answerFault(
                    sample.path("text").asText(),
                    marker,
                    DemoRecords.tokensOf(sample.path("text").asText()).size());
            verdict.check(fault.isEmpty(), "sample of " + marker + ": " + fault);
        }
        return verdict;
    }

    // Each stretch of tokens of one generation begins at its index 0: a resumed answer has several, and only the last
    // one needs to reach its generation's end.
    private String answerFault(String text, String marker, int count) {
        List<String> tokens = DemoRecords.tokensOf(text);
        if (tokens.isEmpty() || tokens.size() != count) {
            return "has " + tokens.size() + " of " + count + " tokens";
        }
        DemoRecords.Origin last = null;
        for (String token : tokens) {
            DemoRecords.Origin origin = records.origin(token);
            if (origin == null) {
                return "token " + token + " was produced by no engine";
            }
            if (!origin.generation().marker().equals(marker)) {
                return "holds a token of " + origin.generation().marker();
            }
            boolean sameGeneration = last != null && last.generation().equals(origin.generation());
            int expected = sameGeneration ? last.index() + 1 : 0;
            if (origin.index() != expected) {
                return "token " + origin.index() + " follows where " + expected + " was due";
            }
            last = origin;
        }
        int produced = last.generation().record().path("tokens").size();
        String finish = last.generation().record().path("finish").asText();
        boolean ended = finish.equals("stop") || finish.equals("length");
        return ended && last.index() == produced - 1 ? "" : "ends before its generation did";
    }

    private List<Accepted> acceptedSamples() {
        List<Accepted> samples = new ArrayList<>();
        for (JsonNode line : records.observed("delivery")) {
            if (line.path("acknowledged").asBoolean()) {
                line.path("samples").forEach(sample -> samples.add(new Accepted(sample, line)));
            }
        }
        return samples;
    }

    private static boolean isAnswered(JsonNode call, String kind) {
        return call.path("outcome").asText().equals("ok")
                && call.path("kind").asText().equals(kind);
    }

    private static boolean sameStep(JsonNode a, JsonNode b) {
        return stepName(a).equals(stepName(b));
    }

    private static String stepName(JsonNode line) {
        return line.path("run").asText() + "/" + line.path("step").asLong();
    }

    private static String slot(JsonNode line, JsonNode sample) {
        return slot(line, line.path("group").asText(), sample.path("index").asInt());
    }

    private static String slot(JsonNode line, String group, int index) {
        return stepName(line) + "/" + group + "/" + index;
    }
}
