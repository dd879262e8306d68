package org.magnoliabridge.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class UndertowHttpCallerTest {
    private static final String OK = "HTTP/1.1 200 OK\r\n";

    private final AtomicInteger connections = new AtomicInteger();
    private ServerSocket server;
    private UndertowHttpCaller caller;
    private volatile String answer;
    private volatile boolean keepOpen = true;

    @BeforeEach
    void start() throws IOException {
        server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        caller = new UndertowHttpCaller(1);
        Thread.ofVirtual().start(this::acceptAll);
    }

    @AfterEach
    void stop() throws IOException {
        caller.close();
        server.close();
    }

    @Test
    void returnsAWholeAnswer() throws HttpFailure {
        answer = OK + "Content-Length: 5\r\nX-Thing: a\r\n\r\nhello";
        HttpAnswer got = caller.call(HttpCall.get(target(), "/"));
        assertThat(got.text(), is("hello"));
        assertThat(got.header("x-thing").orElse(""), is("a"));
    }

    /** Guards against a call that waits for content that its answer describes but does not have. */
    @Test
    void returnsAnAnswerWithoutContent() throws HttpFailure {
        answer = "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\nETag: \"a\"\r\n\r\n";
        HttpAnswer unchanged = caller.call(HttpCall.get(target(), "/"));
        assertThat(unchanged.status(), is(304));
        assertThat(unchanged.text(), is(""));
        answer = OK + "Content-Length: 5\r\n\r\n";
        assertThat(caller.call(HttpCall.of("HEAD", target(), "/")).text(), is(""));
        answer = OK + "Transfer-Encoding: chunked\r\n\r\n";
        assertThat(caller.call(HttpCall.of("HEAD", target(), "/")).text(), is(""));
        answer = "HTTP/1.1 204 No Content\r\n\r\n";
        assertThat(caller.call(HttpCall.get(target(), "/")).status(), is(204));
        assertThat("only the first connection is closed", connections.get(), is(2));
    }

    /** Guards against a limit for endless heads that rejects heads of common sizes, or counts across answers. */
    @Test
    void acceptsLargeHeadsOnAReusedConnection() throws HttpFailure {
        answer = OK + "X-Large: " + "a".repeat(16_000) + "\r\nContent-Length: 40000\r\n\r\n" + "b".repeat(40_000);
        for (int i = 0; i < 5; i++) {
            assertThat(caller.call(HttpCall.get(target(), "/")).body().length, is(40_000));
        }
        assertThat(connections.get(), is(1));
    }

    @Test
    void reusesAnIdleConnection() throws HttpFailure {
        answer = OK + "Content-Length: 2\r\n\r\nok";
        caller.call(HttpCall.get(target(), "/"));
        caller.call(HttpCall.get(target(), "/"));
        assertThat(connections.get(), is(1));
    }

    /** Guards against a call that must not be repeated meeting a connection that is being closed. */
    @Test
    void opensAFreshConnectionWhenAsked() throws HttpFailure {
        answer = OK + "Content-Length: 2\r\n\r\nok";
        caller.call(HttpCall.get(target(), "/"));
        caller.call(HttpCall.get(target(), "/").onFreshConnection());
        assertThat(connections.get(), is(2));
    }

    /** Guards against a truncated body being taken for the whole. */
    @Test
    void reportsAnAnswerShorterThanItsLength() {
        answer = OK + "Content-Length: 9\r\n\r\nhello";
        keepOpen = false;
        assertThrows(HttpFailure.Lost.class, () -> caller.call(HttpCall.get(target(), "/")));
    }

    /** Guards against a chunked answer without its last chunk being taken for the whole. */
    @Test
    void reportsChunksWithoutAnEnd() {
        answer = OK + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n";
        keepOpen = false;
        assertThrows(HttpFailure.Lost.class, () -> caller.call(HttpCall.get(target(), "/")));
    }

    /** Guards against an answer whose end cannot be proved. */
    @Test
    void reportsAnAnswerThatEndsOnlyWithItsConnection() {
        answer = OK + "\r\nhello";
        keepOpen = false;
        assertThrows(HttpFailure.Lost.class, () -> caller.call(HttpCall.get(target(), "/")));
    }

    /** Guards against waiting for ever on a connection that went silent. */
    @Test
    void givesUpOnASilentConnection() {
        answer = "";
        HttpCall call = HttpCall.get(target(), "/").withLimits(new HttpLimits(1_000, 50, 50, 5_000));
        assertThrows(HttpFailure.Lost.class, () -> caller.call(call));
    }

    /** Guards against waiting for ever on a stream that went silent after its start. */
    @Test
    void givesUpOnAStreamWithoutProgress() {
        answer = OK + "Transfer-Encoding: chunked\r\n\r\n6\r\nhello\n\r\n";
        List<String> lines = new ArrayList<>();
        HttpCall call = HttpCall.get(target(), "/").withLimits(new HttpLimits(1_000, 1_000, 50, 5_000));
        assertThrows(HttpFailure.Lost.class, () -> caller.stream(call, lines::add));
        assertThat(lines, contains("hello"));
    }

    @Test
    void handsOverLinesAcrossChunks() throws HttpFailure {
        answer = OK + "Transfer-Encoding: chunked\r\n\r\n3\r\none\r\n6\r\n\r\ntwo\n\r\n0\r\n\r\n";
        List<String> lines = new ArrayList<>();
        caller.stream(HttpCall.get(target(), "/"), lines::add);
        assertThat(lines, contains("one", "two"));
    }

    /** Guards against calling a refused connection a lost answer. */
    @Test
    void reportsARefusedConnectionAsNotSent() throws IOException {
        try (RefusingPort port = new RefusingPort()) {
            assertThrows(HttpFailure.NotSent.class, () -> caller.call(HttpCall.get(port.address(), "/")));
        }
    }

    @Test
    void refusesAnAnswerOverTheLimit() {
        answer = OK + "Content-Length: 5\r\n\r\nhello";
        HttpCall call = HttpCall.get(target(), "/");
        HttpCall limited = call.withMaxAnswerBytes(4);
        assertThrows(HttpFailure.TooLarge.class, () -> caller.call(limited));
    }

    private InetSocketAddress target() {
        return new InetSocketAddress(server.getInetAddress(), server.getLocalPort());
    }

    private void acceptAll() {
        try {
            while (true) {
                Socket socket = server.accept();
                connections.incrementAndGet();
                Thread.ofVirtual().start(() -> serve(socket));
            }
        } catch (IOException e) {
            assertThat(server.isClosed(), is(true));
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = socket.getInputStream();
            do {
                if (!readHead(in)) {
                    return;
                }
                socket.getOutputStream().write(answer.getBytes(StandardCharsets.UTF_8));
            } while (keepOpen);
        } catch (IOException e) {
            // The caller closed the connection, as several tests intend.
        }
    }

    private static boolean readHead(InputStream in) throws IOException {
        int matched = 0;
        while (matched < 4) {
            int b = in.read();
            if (b < 0) {
                return false;
            }
            matched = b == "\r\n\r\n".charAt(matched) ? matched + 1 : (b == '\r' ? 1 : 0);
        }
        return true;
    }
}
