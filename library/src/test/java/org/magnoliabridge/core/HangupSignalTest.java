package org.magnoliabridge.core;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class HangupSignalTest {
    /** The process that receives the signals. */
    static final class Target {
        private Target() {}

        public static void main(String[] args) throws Exception {
            HangupSignal.handle(() -> System.out.println("hangup"));
            System.out.println("ready");
            new CountDownLatch(1).await();
        }
    }

    /** Guards against SIGHUP, sent after a change of the settings file, terminating the process. */
    @Test
    void signalRunsTheActionAndProcessKeepsRunning() throws IOException, InterruptedException {
        Process process = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-cp",
                        System.getProperty("java.class.path"),
                        Target.class.getName())
                .redirectErrorStream(true)
                .start();
        try (BufferedReader out =
                new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
            assertThat(out.readLine(), is("ready"));
            for (int i = 0; i < 2; i++) {
                new ProcessBuilder("kill", "-HUP", Long.toString(process.pid()))
                        .start()
                        .waitFor();
                assertThat(out.readLine(), is("hangup"));
            }
            assertThat(process.isAlive(), is(true));
        } finally {
            process.destroyForcibly().waitFor(10, TimeUnit.SECONDS);
        }
    }
}
