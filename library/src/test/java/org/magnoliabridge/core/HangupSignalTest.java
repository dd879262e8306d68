package org.magnoliabridge.core;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class HangupSignalTest {
    private static final long LIMIT_S = 30;

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
            try {
                assertThat(nextLine(out), is("ready"));
                assertThat(
                        "SIGHUP is ignored, as it is for every process under nohup", ignoresHangup(process), is(false));
                for (int i = 0; i < 2; i++) {
                    Process kill = new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).start();
                    assertThat("kill has ended", kill.waitFor(LIMIT_S, TimeUnit.SECONDS), is(true));
                    assertThat(nextLine(out), is("hangup"));
                }
                assertThat(process.isAlive(), is(true));
            } finally {
                // Ends a read that is still waiting, which would block closing the reader.
                process.destroyForcibly().waitFor(10, TimeUnit.SECONDS);
            }
        }
    }

    private static String nextLine(BufferedReader out) {
        return assertTimeoutPreemptively(
                Duration.ofSeconds(LIMIT_S),
                out::readLine,
                "the process prints no line, expected ready at its start and hangup after each SIGHUP");
    }

    // A Java process keeps ignoring SIGHUP if its parent does, whatever handler it sets.
    private static boolean ignoresHangup(Process process) throws IOException {
        Path status = Path.of("/proc", Long.toString(process.pid()), "status");
        if (!Files.exists(status)) {
            return false;
        }
        return Files.readAllLines(status).stream()
                .filter(line -> line.startsWith("SigIgn:"))
                .map(line -> line.substring("SigIgn:".length()).strip())
                .anyMatch(mask -> (Long.parseUnsignedLong(mask, 16) & 1) != 0);
    }
}
