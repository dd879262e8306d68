package org.magnoliabridge.edge;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.magnoliabridge.http.HttpCall;
import org.magnoliabridge.http.HttpFailure;
import org.magnoliabridge.http.UndertowHttpCaller;

class OperatorServerTest {
    @Test
    void showsMetricsAndStatus() throws IOException, HttpFailure {
        MetricRegistry metrics = new MetricRegistry();
        metrics.counter("calls.retries").inc(3);
        metrics.timer("edge.requests");
        InetSocketAddress listen = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        try (UndertowHttpCaller caller = new UndertowHttpCaller(1);
                OperatorServer server = new OperatorServer(
                        listen, metrics, Map.of("/status", () -> JsonNodeFactory.instance.textNode("fine")))) {
            String shown =
                    caller.call(HttpCall.get(server.address(), "/metrics")).text();
            assertThat(shown, containsString("\"calls.retries\":3"));
            assertThat(shown, containsString("\"edge.requests\":{\"count\":0"));
            assertThat(caller.call(HttpCall.get(server.address(), "/status")).text(), is("\"fine\""));
            assertThat(caller.call(HttpCall.get(server.address(), "/")).status(), is(404));
        }
    }
}
