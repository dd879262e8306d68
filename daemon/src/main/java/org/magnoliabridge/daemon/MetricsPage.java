package org.magnoliabridge.daemon;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

/** Serves the metrics of a node in the text format of Prometheus. */
final class MetricsPage implements HttpHandler {
    private static final String TYPE = "text/plain; version=0.0.4";
    private static final double SECONDS_PER_NANO = 1.0 / TimeUnit.SECONDS.toNanos(1);
    private static final double[] QUANTILES = {0.5, 0.9, 0.99};

    private final MetricRegistry metrics;

    MetricsPage(MetricRegistry metrics) {
        this.metrics = metrics;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, TYPE);
        exchange.getResponseSender().send(text());
    }

    private String text() {
        StringBuilder out = new StringBuilder();
        metrics.getCounters().forEach((name, counter) -> line(out, name + "_total", "", (double) counter.getCount()));
        metrics.getGauges().forEach((name, gauge) -> {
            if (gauge.getValue() instanceof Number number) {
                line(out, name, "", number.doubleValue());
            }
        });
        metrics.getTimers()
                .forEach((name, timer) ->
                        summary(out, name + "_seconds", timer.getSnapshot(), timer.getCount(), SECONDS_PER_NANO));
        metrics.getHistograms()
                .forEach((name, histogram) -> summary(out, name, histogram.getSnapshot(), histogram.getCount(), 1));
        return out.toString();
    }

    private static void summary(StringBuilder out, String name, Snapshot snapshot, long count, double unit) {
        for (double quantile : QUANTILES) {
            line(out, name, "{quantile=\"" + quantile + "\"}", snapshot.getValue(quantile) * unit);
        }
        line(out, name + "_count", "", (double) count);
    }

    private static void line(StringBuilder out, String name, String labels, double value) {
        out.append("magnoliabridge_")
                .append(name.toLowerCase(Locale.ROOT).replaceAll("[^a-z0-9_]", "_"))
                .append(labels)
                .append(' ')
                .append(value)
                .append('\n');
    }
}
