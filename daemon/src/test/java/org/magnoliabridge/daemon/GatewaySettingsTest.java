package org.magnoliabridge.daemon;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.magnoliabridge.membership.NodeLocation;
import org.magnoliabridge.settings.SettingsException;
import org.magnoliabridge.settings.SettingsException.Problem;

class GatewaySettingsTest {
    private static GatewaySettings parse(String more) throws SettingsException {
        String text = """
                {"node_id": "n1", "data_centre": "trent", "region": "midlands",
                 "caller_listen": "127.0.0.1:1", "ready_listen": "127.0.0.1:2", "directory_listen": "127.0.0.1:3",
                 "peer_listen": "127.0.0.1:4", "metrics_listen": "127.0.0.1:5",
                 "object_api": "127.0.0.1:6", "orders_api": "127.0.0.1:7"%s}
                """.formatted(more);
        return GatewaySettings.parse(text.getBytes(StandardCharsets.UTF_8));
    }

    /** Guards against nodes of different sizes that report the same capacity, or a size lost in rounding. */
    @Test
    void capacityIsShareTimesSpeed() throws SettingsException {
        assertThat(parse(", \"cpu_share\": 0.36, \"cpu_speed\": 1").capacityMillicores(), is(360));
        assertThat(parse(", \"cpu_share\": 0.75, \"cpu_speed\": 2").capacityMillicores(), is(1_500));
        assertThat(parse(", \"cpu_share\": 0.29").capacityMillicores(), is(290));
    }

    /** Guards against a node without these settings that passes for a large one. */
    @Test
    void capacityIsUnknownWithoutItsSettings() throws SettingsException {
        assertThat(parse("").capacityMillicores(), is(NodeLocation.UNKNOWN_CAPACITY));
        assertThat(parse(", \"cpu_speed\": 4").capacityMillicores(), is(NodeLocation.UNKNOWN_CAPACITY));
    }

    /** Guards against calls for evacuations in a deployment that does not ask for them. */
    @Test
    void evacuationsAreOffUnlessTheyAreAskedFor() throws SettingsException {
        assertThat(parse("").bounds().evacuateMs(), is(0L));
        assertThat(parse(", \"evacuate_ms\": 5000").bounds().evacuateMs(), is(5_000L));
        assertThrows(SettingsException.class, () -> parse(", \"evacuate_ms\": 0"));
    }

    /** Guards against an impossible capacity being ignored at start. */
    @Test
    void namesImpossibleCapacities() {
        SettingsException thrown =
                assertThrows(SettingsException.class, () -> parse(", \"cpu_share\": 0, \"cpu_speed\": \"two\""));
        assertThat(
                thrown.problems().stream().map(Problem::field).toList(), containsInAnyOrder("cpu_share", "cpu_speed"));
    }

    /** Guards against a node that refuses its callers because of an impossible limit, or ignores the given one. */
    @Test
    void descriptorsAreOptional() throws SettingsException {
        assertThat(parse("").maxDescriptors(), is(0));
        assertThat(parse(", \"max_descriptors\": 4100").maxDescriptors(), is(4_100));
        SettingsException thrown = assertThrows(SettingsException.class, () -> parse(", \"max_descriptors\": 3"));
        assertThat(thrown.problems().stream().map(Problem::field).toList(), containsInAnyOrder("max_descriptors"));
    }
}
