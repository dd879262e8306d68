package org.magnoliabridge.edge;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import org.magnoliabridge.bundle.Bounds;
import org.magnoliabridge.bundle.Bundle;
import org.magnoliabridge.bundle.ConfigSnapshot;
import org.magnoliabridge.bundle.Route;
import org.magnoliabridge.bundle.Service;
import org.magnoliabridge.bundle.Team;
import org.magnoliabridge.bundle.Withdrawals;
import org.magnoliabridge.calls.CallDependencies;
import org.magnoliabridge.calls.CallFixture;
import org.magnoliabridge.calls.FakeBackEnd;
import org.magnoliabridge.calls.FakeEndpoints;
import org.magnoliabridge.calls.PlainAnswer;
import org.magnoliabridge.calls.PlainCaller;
import org.magnoliabridge.calls.PlainServiceAdapter;
import org.magnoliabridge.ids.BundleVersion;
import org.magnoliabridge.ids.DataCentre;
import org.magnoliabridge.ids.KeyId;
import org.magnoliabridge.ids.RequestId;
import org.magnoliabridge.ids.RunId;
import org.magnoliabridge.ids.ServiceId;
import org.magnoliabridge.ids.TeamId;
import org.magnoliabridge.keys.KeyTable;
import org.magnoliabridge.keys.TeamKey;
import org.magnoliabridge.memory.FakeMemory;

/** A caller server in front of two fake engines and one fake plain service. */
final class EdgeFixture implements AutoCloseable {
    static final TeamId TEAM = new TeamId("anvil");
    static final int MAX_BODY_BYTES = 4_000;
    static final String CHAT = "/v1/chat/completions";

    final CallFixture calls = new CallFixture();
    volatile FakeBackEnd.Script script =
            (request, out) -> FakeBackEnd.respond(out, 200, "application/json", "{\"booked\":1}");
    final FakeBackEnd bookings = new FakeBackEnd((request, out) -> script.answer(request, out));
    final TeamKey key = TeamKey.generate(new KeyId("k1"), new SecureRandom());
    final TeamKey stranger = TeamKey.generate(new KeyId("k2"), new SecureRandom());
    final List<UsageSink.Delivery> usage = new CopyOnWriteArrayList<>();
    volatile UsageSink usageSink = usage::add;
    final List<String> idempotent = new CopyOnWriteArrayList<>();
    final List<String> rollouts = new CopyOnWriteArrayList<>();
    volatile ConfigSnapshot config;
    final CallerServer server;
    private final HttpClient client = HttpClient.newHttpClient();

    EdgeFixture() throws IOException {
        config = snapshot(Set.of(), Long.MAX_VALUE);
        CallDependencies t = calls.dependencies;
        CallDependencies plain = new CallDependencies(
                new FakeEndpoints().add("desk", bookings.address()),
                t.retryBudget(),
                t.limits(),
                t.clock(),
                t.requestIds(),
                t.background(),
                t.metrics(),
                t.spans(),
                t.grace());
        AtomicInteger ids = new AtomicInteger();
        server = new CallerServer(
                new EdgeDependencies(
                        () -> config,
                        calls.caller,
                        new PlainCaller(new PlainServiceAdapter(calls.http), plain),
                        (idempotencyKey, outcome, request, cancellation) -> {
                            idempotent.add(request.team() + " " + idempotencyKey);
                            return new PlainAnswer(200, java.util.Map.of(), new byte[0]);
                        },
                        new FakeRollouts(),
                        (near, ip) -> new AddressSource.Addresses(
                                List.of(new AddressSource.NodeAddress("127.0.0.1:1", new DataCentre("trent"), 1)),
                                5_000),
                        delivery -> usageSink.delivered(delivery),
                        new FakeMemory(),
                        () -> new RequestId("caller-" + ids.incrementAndGet()),
                        t.clock(),
                        calls.metrics,
                        t.spans()),
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    }

    ConfigSnapshot snapshot(Set<KeyId> withdrawn, long serveUntilMs) {
        ServiceId model = new ServiceId("coachgen");
        ServiceId desk = new ServiceId("benchdesk");
        Bundle bundle = new Bundle(
                new BundleVersion(1),
                List.of(),
                List.of(
                        new Team(TEAM, 1, 1_000, List.of(model, desk)),
                        new Team(new TeamId("brass"), 1, 1_000, List.of())),
                List.of(key.entry(TEAM), stranger.entry(new TeamId("brass"))),
                List.of(
                        new Service(model, Service.Kind.MODEL, Service.Priority.INTERACTIVE, List.of()),
                        new Service(
                                desk,
                                Service.Kind.PLAIN,
                                Service.Priority.INTERACTIVE,
                                List.of(
                                        new Route("*", "/bookings", false, false, Optional.empty()),
                                        new Route("GET", "/open", true, true, Optional.empty())))),
                new Bounds(MAX_BODY_BYTES, 4, 8));
        return new ConfigSnapshot(
                Optional.of(bundle), Withdrawals.NONE, KeyTable.of(bundle.keys(), withdrawn), serveUntilMs);
    }

    static String chat(boolean stream) {
        return "{\"model\":\"coachgen\",\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}],"
                + "\"max_tokens\":5,\"stream\":" + stream + "}";
    }

    HttpRequest.Builder request(String pathAndQuery) {
        InetSocketAddress address = server.address();
        return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + address.getPort() + pathAndQuery));
    }

    HttpRequest.Builder keyed(String pathAndQuery) {
        return request(pathAndQuery).header("Authorization", "Bearer " + key.reveal());
    }

    HttpResponse<String> post(HttpRequest.Builder request, String body) throws IOException, InterruptedException {
        return send(request.header("Content-Type", "application/json").POST(HttpRequest.BodyPublishers.ofString(body)));
    }

    HttpResponse<String> send(HttpRequest.Builder request) throws IOException, InterruptedException {
        return client.send(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    /** Sends a chat request on a separate socket that the test can close. */
    Socket open(boolean stream) throws IOException {
        Socket socket =
                new Socket(server.address().getAddress(), server.address().getPort());
        String body = chat(stream);
        String head =
                "POST " + CHAT + " HTTP/1.1\r\nHost: a\r\nContent-Type: application/json\r\nAuthorization: Bearer "
                        + key.reveal() + "\r\nContent-Length: " + body.length() + "\r\n\r\n";
        socket.getOutputStream().write((head + body).getBytes(StandardCharsets.UTF_8));
        return socket;
    }

    String backEndBytes() {
        return bookings.recorded() + calls.one.server.recorded() + calls.two.server.recorded();
    }

    @Override
    public void close() throws IOException {
        client.close();
        server.close();
        calls.close();
        bookings.close();
    }

    private final class FakeRollouts implements RolloutService {
        @Override
        public long openStep(TeamId team, RunId run, byte[] spec, long deadlineMs) {
            rollouts.add(team + "/" + run + " " + new String(spec, StandardCharsets.UTF_8));
            return 3;
        }

        @Override
        public Groups fetchGroups(Fetch fetch) {
            return new Groups(List.of("{\"seq\":1}".getBytes(StandardCharsets.UTF_8)), fetch.cursor() + 1, true);
        }

        @Override
        public void acknowledge(Acknowledgement ack) {
            rollouts.add(ack.run() + " " + ack.step() + " " + ack.cursor() + " " + ack.trainer());
        }
    }
}
