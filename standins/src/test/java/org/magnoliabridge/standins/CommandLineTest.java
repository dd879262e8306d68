package org.magnoliabridge.standins;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.magnoliabridge.cli.Cli;

/** Guards against exit codes that scripts can't rely on, and against races and lost answers that mislead operators. */
class CommandLineTest extends StandInTest {
    private static final String BUNDLE = """
            {"version": 1, // comments are allowed
             "data_centres": [{"id": "trent", "region": "midlands"}],
             "teams": [{"id": "oak", "weight": 1, "tokens_per_second": 1000, "services": ["coachgen"]}],
             "keys": [],
             "services": [{"id": "coachgen", "kind": "model", "priority": "training", "routes": []}],
             "bounds": {"max_body_bytes": 1000000, "max_staleness": 4, "engine_slots": 8}}
            """;

    @TempDir
    private Path folder;

    private final ObjectApi objects = closer.register(new ObjectApi(ANY_PORT, ObjectApi.Settings.defaults()));
    private final AtomicLong memberVersion = new AtomicLong(Long.MAX_VALUE);
    private final StandInServer node = closer.register(new StandInServer(ANY_PORT, this::nodeAnswer));

    @BeforeEach
    void writeFiles() throws Exception {
        file("bundle.json", BUNDLE);
        assertThat(run("bundle", "keypair", "--out", path("operator.key")).code(), is(0));
        config("cli.json", objects.address().getPort());
    }

    @Test
    void firstBundleIsCreatedSignedAndRolled() throws Exception {
        roll(0);
        assertThat(run("bundle", "status", "--json").json().path("version").asInt(), is(1));
        assertThat(run("bundle", "diff", path("bundle.json")).text(), containsString("no differences"));
    }

    @Test
    void unsignedDraftIsInvalid() throws Exception {
        run("bundle", "create", path("bundle.json"), "--out", path("draft"));
        assertFailure(run("bundle", "roll", path("draft"), "--json"), 3, "signature");
    }

    @Test
    void everyInvalidFieldIsNamed() throws Exception {
        file("bad.json", BUNDLE.replace("\"weight\": 1", "\"weight\": 0").replace("[\"coachgen\"]", "[\"other\"]"));
        assertFailure(run("bundle", "validate", path("bad.json"), "--json"), 3, "teams[0].weight");
        file("cli.json", "{\"object_api\": \"nowhere\", \"timeout_ms\": 0, \"colour\": 1}");
        assertFailure(run("status", "--json"), 3, "object_api", "timeout_ms", "colour");
        config("cli.json", objects.address().getPort());
        roll(0);
        assertFailure(run("key", "issue", "--team", "elm", "--json"), 3, "keys[0].team");
        assertFailure(run("key", "issue", "--team", "oak", "--id", "a_b", "--json"), 3, "id");
    }

    @Test
    void wrongArgumentsAreAUsageError() throws Exception {
        assertFailure(run("bundle", "explode", "--json"), 2);
        assertFailure(run("--json"), 2);
        assertFailure(run("key", "issue", "--json"), 2);
        assertThat(run("--help").code(), is(0));
    }

    @Test
    void ofRacingOperatorsOneWinsAndTheOthersConflict() throws Exception {
        roll(0);
        for (int round = 0; round < 5; round++) {
            assertThat(run("bundle", "status", "--out", path("current.json")).code(), is(0));
            List<CompletableFuture<Integer>> racers = new ArrayList<>();
            for (int racer = 0; racer < 3; racer++) {
                String signed = path("signed" + racer);
                run("bundle", "create", path("current.json"), "--out", path("draft" + racer));
                run("bundle", "sign", path("draft" + racer), "--out", signed);
            }
            for (int racer = 0; racer < 3; racer++) {
                String signed = path("signed" + racer);
                racers.add(CompletableFuture.supplyAsync(
                        () -> run("bundle", "roll", signed, "--json").code()));
            }
            List<Integer> codes = new ArrayList<>();
            for (CompletableFuture<Integer> racer : racers) {
                codes.add(racer.get());
            }
            Collections.sort(codes);
            assertThat("round " + round, codes, is(List.of(0, 4, 4)));
        }
    }

    @Test
    void outdatedBundleConflicts() throws Exception {
        roll(0);
        run("key", "issue", "--team", "oak", "--id", "k1");
        assertFailure(run("bundle", "create", path("bundle.json"), "--out", path("draft"), "--json"), 4);
        assertFailure(run("key", "issue", "--team", "oak", "--id", "k1", "--json"), 4);
    }

    @Test
    void lostAnswerIsSettledByReadingBack() throws Exception {
        status(
                objects,
                "POST",
                "/faults",
                "{\"mode\":\"lose_answer\",\"method\":\"PUT\",\"match\":\"/objects/bundles/head\",\"count\":1}");
        roll(0);
        assertThat(run("bundle", "status", "--json").json().path("version").asInt(), is(1));
    }

    @Test
    void unreachablePlatformIsUnavailable() throws Exception {
        objects.close();
        assertFailure(run("bundle", "status", "--json"), 5);
        assertFailure(run("key", "withdraw", "k1", "--json"), 5);
    }

    @Test
    void withdrawalIsPendingUntilEveryMemberConfirms() throws Exception {
        roll(0);
        memberVersion.set(0);
        Outcome pending = run("key", "withdraw", "k1", "--json");
        assertThat(pending.code(), is(6));
        assertThat(pending.json().path("pending").get(0).asText(), is("n2"));
        memberVersion.set(1);
        Outcome done = run("key", "withdraw", "k1", "--json");
        assertThat(done.code(), is(0));
        assertThat(done.json().path("state").asText(), is("withdrawn"));
    }

    @Test
    void secretIsShownOnceAndStoredNowhere() throws Exception {
        roll(0);
        String key = run("key", "issue", "--team", "oak", "--json")
                .json()
                .path("key")
                .asText();
        String secret = key.substring(key.lastIndexOf('_') + 1);
        for (JsonNode object : json(objects, "/list").path("objects")) {
            String value = client.get(
                            objects.address(), "/objects/" + object.path("key").asText())
                    .text();
            assertThat(value, not(containsString(secret)));
        }
        try (Stream<Path> files = Files.list(folder)) {
            for (Path file : files.toList()) {
                assertThat(Files.readString(file), not(containsString(secret)));
            }
        }
    }

    @Test
    void statusEndpointsAndUsageAreRead() throws Exception {
        assertThat(run("status").text(), containsString("n1 trent serving"));
        assertThat(run("endpoints").text(), containsString("e1 coachgen"));
        client.call("PUT", objects.address(), "/objects/usage/w1", Map.of("If-None-Match", "*"), "{\"a\":1}");
        assertThat(
                run("usage", "--json")
                        .json()
                        .path("windows")
                        .path("w1")
                        .path("a")
                        .asInt(),
                is(1));
        assertFailure(run("usage", "--window", "w9", "--json"), 3, "--window");
        node.close();
        assertThat(run("status").code(), is(5));
        assertFailure(run("endpoints", "--json"), 5);
    }

    @Test
    void nodeIsStartedByTheGivenStarter() {
        assertThat(run("node", "--settings", "n.json").code(), is(77));
    }

    private record Outcome(int code, String text, String errors) {
        JsonNode json() throws IOException {
            return new JsonClient.Reply(code, text, Map.of()).json();
        }
    }

    private void roll(int expected) throws IOException {
        assertThat(
                run("bundle", "create", path("bundle.json"), "--out", path("draft"))
                        .errors(),
                is(""));
        assertThat(run("bundle", "sign", path("draft"), "--out", path("signed")).errors(), is(""));
        assertThat(run("bundle", "roll", path("signed")).code(), is(expected));
    }

    private static void assertFailure(Outcome outcome, int code, String... fields) throws IOException {
        assertThat(outcome.text(), outcome.code(), is(code));
        String problems = outcome.json().path("error").path("problems").toString();
        for (String field : fields) {
            assertThat(problems, containsString("\"field\":\"" + field + "\""));
        }
    }

    private Outcome run(String... args) {
        boolean onPlatform = !List.of("validate", "keypair").contains(args.length > 1 ? args[1] : "");
        List<String> all = new ArrayList<>(List.of(args));
        if (onPlatform && !args[0].startsWith("--") && !args[0].equals("node") && !all.contains("explode")) {
            all.addAll(List.of("--config", path("cli.json")));
        }
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        int code = new Cli(print(out), print(err), settings -> 77).run(all.toArray(String[]::new));
        return new Outcome(code, out.toString(StandardCharsets.UTF_8), err.toString(StandardCharsets.UTF_8));
    }

    private static PrintStream print(ByteArrayOutputStream to) {
        return new PrintStream(to, true, StandardCharsets.UTF_8);
    }

    private Answer nodeAnswer(Call call) {
        if (call.path().equals("/admin/endpoints")) {
            ObjectNode endpoint = Json.object().put("id", "e1").put("service", "coachgen");
            return Answer.json(200, Json.array().add(endpoint));
        }
        ObjectNode status = Json.object()
                .put("node_id", "n1")
                .put("data_centre", "trent")
                .put("state", "serving")
                .put("bundle_version", Long.MAX_VALUE)
                .put("withdrawals_version", Long.MAX_VALUE);
        status.putArray("members")
                .addObject()
                .put("node_id", "n2")
                .put("state", "alive")
                .put("contact_age_ms", 100)
                .put("bundle_version", Long.MAX_VALUE)
                .put("withdrawals_version", memberVersion.get());
        return Answer.json(200, status);
    }

    private void config(String name, int objectPort) throws IOException {
        ObjectNode config = Json.object()
                .put("object_api", "127.0.0.1:" + objectPort)
                .put("signing_key", path("operator.key"))
                .put("timeout_ms", 2_000)
                .put("confirm_ms", 300);
        config.putArray("operators").add("127.0.0.1:" + node.address().getPort());
        file(name, Json.text(config));
    }

    private void file(String name, String content) throws IOException {
        Files.writeString(folder.resolve(name), content);
    }

    private String path(String name) {
        return folder.resolve(name).toString();
    }
}
