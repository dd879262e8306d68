package org.magnoliabridge.telemetry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.endsWith;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.not;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.List;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class JsonLogFormatterTest {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    private final Logger logger = Logger.getLogger(JsonLogFormatterTest.class.getName());
    private final List<String> lines = new ArrayList<>();
    private final Handler handler = new Handler() {
        @Override
        public void publish(LogRecord record) {
            lines.add(new JsonLogFormatter("n1").format(record));
        }

        @Override
        public void flush() {}

        @Override
        public void close() {}
    };

    @BeforeEach
    void attach() {
        logger.setUseParentHandlers(false);
        logger.addHandler(handler);
    }

    @AfterEach
    void detach() {
        logger.removeHandler(handler);
    }

    @Test
    void writesFieldsBesideTheMessage() {
        LOG.atInfo()
                .with(LogFields.SERVICE, "benchdesk")
                .with(LogFields.VERSION, 7L)
                .log("applied %s", "it");
        assertThat(lines, hasSize(1));
        assertThat(lines.get(0), containsString("\"message\":\"applied it\""));
        assertThat(lines.get(0), containsString("\"service\":\"benchdesk\""));
        assertThat(lines.get(0), endsWith("\"version\":7}\n"));
    }

    /** Guards against an API key in a message argument or an exception reaching the logs. */
    @Test
    void masksKeys() {
        String key = "mb_k1_abcdefghijklmnop";
        LOG.atWarning().withCause(new IllegalStateException("got " + key)).log("header %s", key);
        assertThat(lines.get(0), not(containsString("abcdefgh")));
        assertThat(lines.get(0), containsString("mb_***"));
    }
}
