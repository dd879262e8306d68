package org.magnoliabridge.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/** A server that stops in the middle of its answer's head and closes the connection. */
class CutHeadTest {
    private static final String CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n";
    private static final String EARLY_HINTS = "HTTP/1.1 103 Early Hints\r\nLink: <a>\r\n\r\n";
    private static final String EMPTY_EARLY_HINTS = "HTTP/1.1 103 Early Hints\r\nContent-Length: 0\r\n\r\n";
    private static final String LENGTH = "HTTP/1.1 200 OK\r\nX-Seal: 1\r\nContent-Length: 12345\r\nX-B: c\r\n\r\n";
    private static final String CHUNKS = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String UNFRAMED = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";
    private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    private static final String OLD = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold";
    private static final long HOLD_MS = 30_000;
    private static final HttpLimits LIMITS = HttpLimits.total(30_000);

    private final UndertowHttpCaller caller = new UndertowHttpCaller(1);
    private final List<LoopbackServer> servers = new ArrayList<>();

    @AfterEach
    void stop() throws IOException {
        caller.close();
        for (LoopbackServer server : servers) {
            server.close();
        }
    }

    /** Guards against a head without its end that is taken for an answer with an empty or short body. */
    @TestFactory
    Stream<DynamicTest> answerIsLostWhereverItsHeadIsCut() {
        Stream<DynamicTest> methods = Arrays.stream(CallMethod.values()).map(method -> cuts(method, LENGTH));
        Stream<DynamicTest> heads = Stream.of(
                        CHUNKS, UNFRAMED, CONTINUE + LENGTH, EARLY_HINTS + LENGTH, EMPTY_EARLY_HINTS + LENGTH)
                .map(head -> cuts(CallMethod.CALL, head));
        return Stream.concat(methods, heads);
    }

    private DynamicTest cuts(CallMethod method, String head) {
        return DynamicTest.dynamicTest(method + " " + head.replace("\r\n", "|"), () -> checkEveryCut(method, head));
    }

    private void checkEveryCut(CallMethod method, String head) throws Exception {
        LoopbackServer server = new LoopbackServer(socket -> serveCut(socket, head));
        servers.add(server);
        for (int length = 1; length < head.length(); length++) {
            for (String end : List.of("close", "reset")) {
                String path = "/cut/" + length + "/" + end;
                HttpCall call = HttpCall.get(server.address(), path).withLimits(LIMITS);
                assertThrows(
                        HttpFailure.Lost.class,
                        () -> method.run(caller, call.onFreshConnection().withUnframedAnswer()),
                        path);
                HttpCall first = HttpCall.get(server.address(), "/ok").withLimits(LIMITS);
                assertThat(caller.call(first).text(), is("ok"));
                int connections = server.connections();
                assertThrows(HttpFailure.Lost.class, () -> method.run(caller, call), path);
                assertThat(path + " uses the connection again", server.connections(), is(connections));
            }
        }
    }

    /** Guards against an answer that is taken for that of the next call because an interim one came before it. */
    @TestFactory
    Stream<DynamicTest> answerAfterAnInterimOneIsNotThatOfTheNextCall() {
        return Stream.of(CONTINUE, EARLY_HINTS, EMPTY_EARLY_HINTS)
                .flatMap(interim -> Arrays.stream(CallMethod.values())
                        .map(method -> DynamicTest.dynamicTest(
                                method + " " + interim.replace("\r\n", "|"), () -> checkInterim(method, interim))));
    }

    private void checkInterim(CallMethod method, String interim) throws Exception {
        CountDownLatch interimTaken = new CountDownLatch(1);
        LoopbackServer server = new LoopbackServer(socket -> {
            while (true) {
                boolean first = LoopbackServer.readHead(socket.getInputStream()).contains(" /interim ");
                if (first) {
                    socket.getOutputStream().write(interim.getBytes(StandardCharsets.ISO_8859_1));
                    interimTaken.await(interim.equals(CONTINUE) ? 0 : HOLD_MS, TimeUnit.MILLISECONDS);
                }
                String answer = first ? OLD : OK;
                socket.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
            }
        });
        servers.add(server);
        HttpCall call = HttpCall.get(server.address(), "/interim").withLimits(LIMITS);
        try {
            HttpAnswer answer = method.run(caller, call.withUnframedAnswer());
            assertThat(answer.status(), is(200));
        } catch (HttpFailure.Lost e) {
            assertThat(e.getMessage(), containsString("status 103"));
        }
        interimTaken.countDown();
        HttpCall next = HttpCall.get(server.address(), "/ok").withLimits(LIMITS);
        assertThat(caller.call(next).text(), is("ok"));
    }

    private static void serveCut(Socket socket, String head) throws IOException {
        String[] request = LoopbackServer.readHead(socket.getInputStream()).split(" ", -1);
        while (request.length > 1) {
            if (request[1].startsWith("/cut/")) {
                String[] path = request[1].split("/", -1);
                String cut = head.substring(0, Integer.parseInt(path[2]));
                socket.getOutputStream().write(cut.getBytes(StandardCharsets.ISO_8859_1));
                // Closing with a linger time of 0 sends a reset.
                socket.setSoLinger(path[3].equals("reset"), 0);
                return;
            }
            socket.getOutputStream().write(OK.getBytes(StandardCharsets.ISO_8859_1));
            request = LoopbackServer.readHead(socket.getInputStream()).split(" ", -1);
        }
    }
}
