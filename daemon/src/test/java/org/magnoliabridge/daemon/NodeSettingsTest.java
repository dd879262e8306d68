package org.magnoliabridge.daemon;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.magnoliabridge.settings.SettingsException;
import org.magnoliabridge.settings.SettingsException.Problem;

class NodeSettingsTest {
    private static final String VALID = """
            {
              // one of three nodes
              "node_id": "trent-1", "data_centre": "trent", "region": "midlands",
              "caller_listen": "127.0.0.1:8001", "operator_listen": "127.0.0.1:8002", "peer_listen": "127.0.0.1:8003",
              "seeds": ["127.0.0.1:8013"],
              "object_api": "127.0.0.1:9001", "orders_api": "127.0.0.1:9002", "usage_api": "127.0.0.1:9003",
              "instances_api": "127.0.0.1:9004", "weights_api": "127.0.0.1:9005", "scoring_api": "127.0.0.1:9006",
              "cluster_secrets": ["0123456789abcdef0123456789abcdef"],
              "operator_public_keys": ["MCowBQYDK2VwAyEA"]
            }
            """;

    private static NodeSettings parse(String text) throws SettingsException {
        return NodeSettings.parse(text.getBytes(StandardCharsets.UTF_8));
    }

    private static List<String> fieldsOf(String text) {
        SettingsException thrown = assertThrows(SettingsException.class, () -> parse(text));
        return thrown.problems().stream().map(Problem::field).toList();
    }

    @Test
    void readsValidSettingsWithDefaults() throws SettingsException {
        NodeSettings settings = parse(VALID);
        assertThat(settings.nodeId().value(), is("trent-1"));
        assertThat(settings.limits().addressTtlMs(), is(5_000L));
    }

    /** Guards against a misspelt or invalid setting being ignored at start. */
    @Test
    void namesEveryInvalidField() {
        String text = VALID.replace("\"trent-1\"", "\"../x\"")
                .replace("127.0.0.1:8002", "localhost:8002")
                .replace("\"seeds\"", "\"sedes\"")
                .replace("0123456789abcdef0123456789abcdef", "short");
        assertThat(fieldsOf(text), containsInAnyOrder("node_id", "operator_listen", "sedes", "cluster_secrets"));
    }
}
