package org.magnoliabridge.standins;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.magnoliabridge.settings.SocketAddresses;

/** Guards against a driver whose observations the checker can't read, so that a run would prove nothing. */
class DemoDriverTest extends StandInTest {
    // What needs platform duties or faults of the script is not exercised here.
    private static final Set<Integer> EXERCISED = Set.of(1, 2, 3, 4, 5, 9, 10, 11, 14);

    @TempDir
    private Path folder;

    @Test
    void rightNodeHoldsWhatItsRunExercises() throws Exception {
        ModelEngine engine = closer.register(
                new ModelEngine(ANY_PORT, new ModelEngine.Settings(1, 100_000, 1_000, 16, 100, 0, 0, 0, true)));
        BookingService bookings = closer.register(new BookingService(ANY_PORT, new BookingService.Settings(0, false)));
        WeightStore weights = closer.register(new WeightStore(ANY_PORT, new WeightStore.Settings(1, 1)));
        ObjectNode config = Json.object()
                .put("weights", SocketAddresses.format(weights.address()))
                .put("model", "coachgen")
                .put("plain", "benchdesk")
                .put("steps", 2);
        ObjectNode keys = Json.object();
        Map<String, String> teams = new HashMap<>();
        ArrayNode members = config.putArray("teams");
        for (String team : List.of("oak", "fir", "yew")) {
            String key = "mb_" + team + "_" + "5ec4e7".repeat(8) + teams.size();
            String role = team.equals("fir") ? "trainer" : team.equals("yew") ? "stranger" : "caller";
            teams.put(key, team);
            keys.put(team, key);
            members.addObject()
                    .put("team", team)
                    .put("key_id", team)
                    .put("key", key)
                    .put("dc", "trent")
                    .put("role", role);
        }
        FakeNode node = closer.register(new FakeNode(ANY_PORT, client, engine, bookings, teams));
        String address = SocketAddresses.format(node.address());
        config.putArray("callers").add(address);
        config.putArray("operators").add(address);
        Files.write(folder.resolve("driver.json"), Json.bytes(config));
        Files.write(folder.resolve("keys.json"), Json.bytes(keys));

        CompletableFuture<Boolean> run = CompletableFuture.supplyAsync(() -> {
            try {
                return DemoDriver.drive(folder);
            } catch (Exception e) {
                throw new IllegalStateException(e);
            }
        });
        // The callers go on until something was booked, whatever the order of their random choices.
        while (json(bookings, "/record").findValues("booking").size() < 3 && !run.isDone()) {
            Thread.sleep(20);
        }
        Files.createFile(folder.resolve("finish"));
        assertThat(run.get(60, TimeUnit.SECONDS), is(true));

        DemoRecords records = DemoRecords.read(folder);
        records.add("engine-e1", json(engine, "/record"));
        records.add("bookings-b1", json(bookings, "/record"));
        List<Verdict> verdicts = PlatformChecks.all(records);
        for (int i = 0; i < verdicts.size(); i++) {
            assertThat(verdicts.get(i).text(), verdicts.get(i).isViolated(), is(false));
            if (EXERCISED.contains(i + 1)) {
                assertThat(verdicts.get(i).text(), verdicts.get(i).exercised(), greaterThan(0L));
            }
        }
    }
}
