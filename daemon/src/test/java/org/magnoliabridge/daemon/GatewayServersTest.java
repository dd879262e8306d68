package org.magnoliabridge.daemon;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.startsWith;

import com.codahale.metrics.MetricRegistry;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.magnoliabridge.core.MonotonicClock;
import org.magnoliabridge.edge.ConnectionRooms;
import org.magnoliabridge.edge.ServerPort;
import org.magnoliabridge.gateway.CallerLimits;

class GatewayServersTest {
    private static final int ROOM = 3;
    private static final int CROWD = 300;
    private static final long MAX_HEAD_BYTES = 10_000;
    private static final int LIMIT_MS = 10_000;
    private static final InetSocketAddress ANY = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);

    private final MetricRegistry metrics = new MetricRegistry();
    private final CountDownLatch slow = new CountDownLatch(1);
    private final List<Client> clients = new ArrayList<>();
    private GatewayServers servers;

    @BeforeEach
    void start() throws IOException {
        ConnectionRooms rooms = new ConnectionRooms(Map.of(
                ServerPort.CALLERS, ROOM, ServerPort.READINESS, 1, ServerPort.DIRECTORY, 1, ServerPort.METRICS, 1));
        HttpHandler quick = exchange -> exchange.getResponseSender().send("ok");
        servers = new GatewayServers(
                new GatewaySettings.Listen(ANY, ANY, ANY, ANY, ANY),
                this::handle,
                quick,
                quick,
                quick,
                new ConnectionGuard(rooms, MAX_HEAD_BYTES, MonotonicClock.system(), metrics));
    }

    @AfterEach
    void stop() throws IOException {
        slow.countDown();
        for (Client client : clients) {
            client.socket.close();
        }
        servers.close();
    }

    private void handle(HttpServerExchange exchange) {
        if (!exchange.getRequestPath().equals("/slow")) {
            exchange.getResponseSender().send("ok");
            return;
        }
        exchange.dispatch(task -> Thread.ofVirtual().start(task), later -> {
            slow.await();
            later.getResponseSender().send("ok");
        });
    }

    /** One connection. */
    private static final class Client {
        private final Socket socket;

        Client(InetSocketAddress address) throws IOException {
            socket = new Socket(address.getAddress(), address.getPort());
            socket.setSoTimeout(LIMIT_MS);
        }

        void send(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        }

        /** Returns the status of an answer with the body "ok", or 0 if the connection is closed without one. */
        int status() throws IOException {
            InputStream in = socket.getInputStream();
            StringBuilder answer = new StringBuilder();
            try {
                while (answer.indexOf("\r\n\r\nok") < 0) {
                    int b = in.read();
                    if (b < 0) {
                        return 0;
                    }
                    answer.append((char) b);
                }
            } catch (SocketException e) {
                return 0;
            }
            return Integer.parseInt(answer.substring(9, 12));
        }

        /** Returns all that arrives until the connection is closed. */
        String all() throws IOException {
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        }

        int call(String path) throws IOException {
            try {
                send("GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n");
            } catch (SocketException e) {
                return 0;
            }
            return status();
        }
    }

    private Client client(ServerPort port) throws IOException {
        Client client =
                new Client(servers.addresses().get(List.of(ServerPort.values()).indexOf(port)));
        clients.add(client);
        return client;
    }

    private Client caller() throws IOException {
        return client(ServerPort.CALLERS);
    }

    private int open() {
        return (int) metrics.getGauges().get("connections.open.callers").getValue();
    }

    private long headBytes() {
        return (long) metrics.getGauges().get("connections.head_bytes").getValue();
    }

    private long closed(String reason) {
        return metrics.counter("connections.closed." + reason).getCount();
    }

    private static void await(BooleanSupplier condition) throws InterruptedException {
        long endNanos = System.nanoTime() + LIMIT_MS * 1_000_000L;
        while (!condition.getAsBoolean()) {
            assertThat("the condition holds in time", System.nanoTime() < endNanos, is(true));
            Thread.sleep(1);
        }
    }

    /** Guards against connections without end, and against closing one that was just used. */
    @Test
    void newConnectionClosesTheOneIdleForLongest() throws Exception {
        List<Client> three = List.of(caller(), caller(), caller());
        for (int i : List.of(0, 1, 2, 0)) {
            assertThat(three.get(i).call("/"), is(200));
        }
        await(() -> open() == ROOM);
        assertThat(caller().call("/"), is(200));
        assertThat(three.get(1).status(), is(0));
        assertThat(three.get(0).call("/"), is(200));
        assertThat(three.get(2).call("/"), is(200));
        assertThat(closed("idle"), is(1L));
        assertThat(open(), is(ROOM));
    }

    /** Guards against a request that loses its connection to a new one. */
    @Test
    void requestsKeepTheirConnections() throws Exception {
        List<Client> three = List.of(caller(), caller(), caller());
        for (Client client : three) {
            client.send("GET /slow HTTP/1.1\r\nHost: h\r\n\r\n");
        }
        await(() -> open() == ROOM);
        // The heads have arrived once each later connection is refused.
        await(() -> closed("no_room") > 0 || refusesOne());
        assertThat(client(ServerPort.READINESS).call("/"), is(200));
        assertThat(client(ServerPort.DIRECTORY).call("/"), is(200));
        assertThat(client(ServerPort.METRICS).call("/"), is(200));
        slow.countDown();
        for (Client client : three) {
            assertThat(client.status(), is(200));
        }
        assertThat(caller().call("/"), is(200));
    }

    private boolean refusesOne() {
        try {
            return caller().call("/") == 0;
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Guards against half heads that fill the memory, and against closing the smaller ones. */
    @Test
    void largestIncompleteHeadIsClosed() throws Exception {
        Client large = caller();
        Client small = caller();
        Client last = caller();
        String filler = "GET / HTTP/1.1\r\nHost: h\r\nX-Filler: ";
        large.send(filler + "h".repeat(6_000));
        small.send(filler + "h".repeat(2_000));
        await(() -> headBytes() > 8_000);
        last.send(filler + "h".repeat(4_000));
        assertThat(large.status(), is(0));
        small.send("\r\n\r\n");
        assertThat(small.status(), is(200));
        last.send("\r\n\r\n");
        assertThat(last.status(), is(200));
        await(() -> headBytes() == 0);
        assertThat(closed("head"), is(1L));
    }

    /** Guards against a crowd that is accepted before any of it is closed, and against a caller who waits behind it. */
    @Test
    void crowdStaysWithinItsRoom() throws Exception {
        for (int i = 0; i < CROWD; i++) {
            caller().send("GET / HTTP/1.1\r\nX-Half: ");
            assertThat(open(), is(lessThanOrEqualTo(ROOM)));
        }
        assertThat(caller().call("/"), is(200));
        assertThat(open(), is(lessThanOrEqualTo(ROOM)));
        assertThat(closed("idle"), is(greaterThan((long) CROWD - 2 * ROOM)));
    }

    /** Guards against connections that count for ever after either side has closed them. */
    @Test
    void closedConnectionsNoLongerCount() throws Exception {
        for (int i = 0; i < 2 * ROOM; i++) {
            Client byClient = caller();
            assertThat(byClient.call("/"), is(200));
            byClient.socket.close();
            Client byServer = caller();
            byServer.send("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
            assertThat(byServer.status(), is(200));
            Client malformed = caller();
            malformed.send("no request\r\n\r\n");
            Client inRequest = caller();
            inRequest.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n123");
            inRequest.socket.close();
        }
        clients.forEach(client -> {
            try {
                client.socket.close();
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        });
        await(() -> open() == 0);
        assertThat(headBytes(), is(0L));
        for (int i = 0; i < ROOM; i++) {
            assertThat(caller().call("/"), is(200));
        }
    }

    /** Guards against limits of the configuration that no longer reach the connections. */
    @Test
    void headsAndIdleConnectionsKeepTheLimitsOfTheConfiguration() throws Exception {
        servers.apply(new CallerLimits(1_000, 1_000, 100, 100));
        Client over = caller();
        over.send("GET / HTTP/1.1\r\nHost: h\r\nX-Filler: " + "h".repeat(2_000));
        assertThat(over.all(), startsWith("HTTP/1.1 400 "));
        Client half = caller();
        half.send("GET / HTTP/1.1\r\nHost: h");
        assertThat(half.all(), is(""));
        Client idle = caller();
        assertThat(idle.call("/"), is(200));
        assertThat(idle.all(), is(""));
    }

    /** Guards against connections whose buffers use up the direct memory, so that none is served. */
    @Test
    void buffersOfAllConnectionsFitInTheirMemory() {
        for (int descriptors : List.of(400, 2_212, 4_100, 8_192, 10_250)) {
            int connections = ConnectionRooms.of(descriptors).all();
            for (long heapBytes : List.of(90L << 20, 500L << 20)) {
                long bytes = 2L * connections * GatewayServers.bufferBytes(heapBytes, connections);
                assertThat(bytes, is(lessThanOrEqualTo(16L << 20)));
            }
        }
        assertThat(GatewayServers.bufferBytes(90L << 20, 100), is(1024));
        assertThat(GatewayServers.bufferBytes(500L << 20, 100), is(16 * 1024 - 20));
    }
}
