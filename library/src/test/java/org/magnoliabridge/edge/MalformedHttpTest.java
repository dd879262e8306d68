package org.magnoliabridge.edge;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.lifecycle.AfterContainer;
import net.jqwik.api.lifecycle.BeforeContainer;

class MalformedHttpTest {
    private static final List<String> LINES = List.of(
            "POST /v1/chat/completions HTTP/1.1\r\n",
            "GET /services/benchdesk/open/../bookings HTTP/1.1\r\n",
            "POST http://[::1/ HTTP/9.9\r\n",
            "Host: a\r\n",
            "Content-Length: 5\r\n",
            "Content-Length: -1\r\n",
            "Content-Length: 99999999999999999999\r\n",
            "Transfer-Encoding: chunked\r\n",
            "Transfer-Encoding: chunked, gzip\r\n",
            "zz\r\n",
            "Authorization: Bearer mb_k1_00\r\n",
            "Cookie: api_key=\"\r\n",
            "X: \u0000\u00ff\r\n",
            "\r\n",
            "{\"api_key\":");

    private static EdgeFixture fixture;

    @BeforeContainer
    static void start() throws IOException {
        fixture = new EdgeFixture();
    }

    @AfterContainer
    static void stop() throws IOException {
        fixture.close();
    }

    @Provide
    Arbitrary<String> input() {
        Arbitrary<String> noise =
                Arbitraries.strings().withCharRange('\u0000', '\u00ff').ofMaxLength(40);
        return Arbitraries.oneOf(Arbitraries.of(LINES), noise)
                .list()
                .ofMinSize(1)
                .ofMaxSize(10)
                .map(parts -> String.join("", parts));
    }

    /** Guards against malformed input that stops the server, holds a request open, or reaches a back end. */
    @Property(tries = 200)
    void neverReachesABackEndAndNeverStopsTheServer(@ForAll("input") String input)
            throws IOException, InterruptedException {
        try (Socket socket = new Socket(
                fixture.server.address().getAddress(), fixture.server.address().getPort())) {
            socket.getOutputStream().write(input.getBytes(StandardCharsets.ISO_8859_1));
            socket.shutdownOutput();
            socket.setSoTimeout(5_000);
            socket.getInputStream().readAllBytes();
        } catch (SocketException e) {
            // The server may close the connection before it has read all input.
        }
        assertThat(fixture.backEndBytes(), is(""));
        assertThat(fixture.send(fixture.request("/healthz")).statusCode(), is(200));
        fixture.server.gate().awaitIdle(5_000);
        assertThat(fixture.server.gate().open(), is(0));
    }
}
