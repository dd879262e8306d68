package org.magnoliabridge.standins;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Deque;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.xnio.IoUtils;

/** The HTTP server of a stand-in: one virtual thread a call, with the faults of {@code POST /faults} applied. */
final class StandInServer implements StandIn {
    private static final Logger LOG = Logger.getLogger(StandInServer.class.getName());
    private static final int BUFFER_BYTES = 16 << 10;
    private static final int UNLIMITED = -1;
    // A lost answer of a stream breaks off after these many events, so that a part of it has arrived.
    private static final int LOST_STREAM_EVENTS = 3;

    /** Answers one call. */
    @FunctionalInterface
    interface Handler {
        Answer answer(Call call) throws BadCallException, InterruptedException;
    }

    /** Thrown when the connection must be closed in mid-answer because a fault says so. */
    private static final class BrokenOff extends IOException {
        private static final long serialVersionUID = 1;
    }

    /** State of an accepted connection. */
    private static final class Link {
        private final CountDownLatch closed = new CountDownLatch(1);
        private volatile boolean silent;
        private volatile String method = "";
        private volatile String path = "";
    }

    private final Handler handler;
    private final Faults faults = new Faults();
    private final Map<ServerConnection, Link> links = new ConcurrentHashMap<>();
    private final ExecutorService threads = Executors.newThreadPerTaskExecutor(
            Thread.ofVirtual().name("standin-", 0).factory());
    private final Undertow server;

    StandInServer(InetSocketAddress listen, Handler handler) {
        this.handler = handler;
        server = Undertow.builder()
                .addHttpListener(listen.getPort(), listen.getAddress().getHostAddress())
                .setIoThreads(1)
                .setWorkerThreads(1)
                .setByteBufferPool(new DefaultByteBufferPool(false, BUFFER_BYTES, UNLIMITED, 0))
                .setServerOption(UndertowOptions.ENABLE_HTTP2, false)
                .setHandler(exchange -> exchange.dispatch(threads, () -> serve(exchange)))
                .build();
        server.start();
    }

    @Override
    public InetSocketAddress address() {
        return (InetSocketAddress) server.getListenerInfo().getFirst().getAddress();
    }

    @Override
    public void close() {
        threads.shutdownNow();
        server.stop();
    }

    private void serve(HttpServerExchange exchange) {
        Link link = links.computeIfAbsent(exchange.getConnection(), this::track);
        try {
            exchange.startBlocking();
            byte[] body = exchange.getInputStream().readAllBytes();
            Call call = new Call(
                    exchange.getRequestMethod().toString(),
                    exchange.getRequestPath(),
                    query(exchange),
                    headers(exchange),
                    body);
            if (call.is("POST", "/faults")) {
                faults.set(call.json());
                links.values().forEach(open -> open.silent |= faults.takeSilent(open.method, open.path));
                send(exchange, link, Answer.ok(), false);
                return;
            }
            link.method = call.method();
            link.path = call.path();
            withFaults(exchange, link, call);
        } catch (BadCallException e) {
            sendQuietly(exchange, link, Answer.error(400, e.getMessage()));
        } catch (IOException e) {
            LOG.log(Level.FINE, "connection lost", e);
            IoUtils.safeClose(exchange.getConnection());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (RuntimeException e) {
            LOG.log(Level.SEVERE, "stand-in failed", e);
            sendQuietly(exchange, link, Answer.error(500, "stand-in failed: " + e));
        }
    }

    private void withFaults(HttpServerExchange exchange, Link link, Call call)
            throws BadCallException, IOException, InterruptedException {
        Faults.Rule rule = faults.take(call.method(), call.path());
        switch (rule.mode()) {
            case NONE -> send(exchange, link, handler.answer(call), false);
            case FAIL -> send(exchange, link, Answer.error(rule.status(), "fault"), false);
            case STALL -> {
                faults.awaitChange(rule.delayMs());
                send(exchange, link, handler.answer(call), false);
            }
            case LOSE_ANSWER -> send(exchange, link, handler.answer(call), true);
            case SILENT -> {
                link.silent = true;
                stayIfSilent(link);
            }
            default -> throw new IllegalStateException("unknown mode " + rule.mode());
        }
    }

    private void send(HttpServerExchange exchange, Link link, Answer answer, boolean lost)
            throws IOException, InterruptedException {
        switch (answer) {
            case Answer.Whole whole -> {
                stayIfSilent(link);
                if (lost) {
                    throw new BrokenOff();
                }
                exchange.setStatusCode(whole.status());
                whole.headers()
                        .forEach((name, value) -> exchange.getResponseHeaders().put(new HttpString(name), value));
                exchange.setResponseContentLength(whole.body().length);
                exchange.getOutputStream().write(whole.body());
                exchange.endExchange();
            }
            case Answer.Events events -> {
                exchange.getResponseHeaders().put(new HttpString("Content-Type"), "text/event-stream");
                OutputStream out = exchange.getOutputStream();
                int[] left = {lost ? LOST_STREAM_EVENTS : Integer.MAX_VALUE};
                events.source().writeTo(data -> {
                    if (left[0]-- <= 0) {
                        throw new BrokenOff();
                    }
                    stayIfSilentInStream(link);
                    out.write(("data: " + data + "\n\n").getBytes(StandardCharsets.UTF_8));
                    out.flush();
                });
                exchange.endExchange();
            }
        }
    }

    private void sendQuietly(HttpServerExchange exchange, Link link, Answer answer) {
        try {
            send(exchange, link, answer, false);
        } catch (IOException | RuntimeException e) {
            LOG.log(Level.FINE, "error answer not sent", e);
            IoUtils.safeClose(exchange.getConnection());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    // Waits on a silent connection until the other side closes it; the call then has no answer.
    private static void stayIfSilent(Link link) throws IOException, InterruptedException {
        if (link.silent) {
            link.closed.await();
            throw new BrokenOff();
        }
    }

    private static void stayIfSilentInStream(Link link) throws IOException {
        try {
            stayIfSilent(link);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new BrokenOff();
        }
    }

    private Link track(ServerConnection connection) {
        Link link = new Link();
        connection.addCloseListener(closed -> {
            links.remove(connection);
            link.closed.countDown();
        });
        return link;
    }

    private static Map<String, String> query(HttpServerExchange exchange) {
        Map<String, String> all = new HashMap<>();
        for (Map.Entry<String, Deque<String>> entry :
                exchange.getQueryParameters().entrySet()) {
            all.put(entry.getKey(), entry.getValue().getFirst());
        }
        return all;
    }

    private static Map<String, String> headers(HttpServerExchange exchange) {
        Map<String, String> all = new HashMap<>();
        exchange.getRequestHeaders()
                .forEach(values ->
                        all.put(values.getHeaderName().toString().toLowerCase(Locale.ROOT), values.getFirst()));
        return all;
    }
}
