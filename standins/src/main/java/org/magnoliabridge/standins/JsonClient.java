package org.magnoliabridge.standins;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** Calls stand-ins and nodes by the JDK's HTTP client, which shares nothing with the code under test. */
final class JsonClient implements AutoCloseable {
    private static final Duration CONNECT_LIMIT = Duration.ofSeconds(2);

    /** A whole answer. */
    record Reply(int status, String text, Map<String, String> headers) {
        JsonNode json() throws IOException {
            try {
                return Json.parse(text.getBytes(StandardCharsets.UTF_8));
            } catch (BadCallException e) {
                throw new IOException("status " + status + ": " + e.getMessage(), e);
            }
        }
    }

    private final HttpClient client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(CONNECT_LIMIT)
            .build();
    private final Duration limit;

    /** Creates a client with a limit per call in milliseconds. */
    JsonClient(long limitMs) {
        limit = Duration.ofMillis(limitMs);
    }

    Reply get(InetSocketAddress target, String path) throws IOException, InterruptedException {
        return call("GET", target, path, Map.of(), "");
    }

    Reply call(String method, InetSocketAddress target, String path, Map<String, String> headers, String body)
            throws IOException, InterruptedException {
        HttpResponse<String> answer =
                client.send(request(method, target, path, headers, body), HttpResponse.BodyHandlers.ofString());
        return new Reply(answer.statusCode(), answer.body(), firstValues(answer));
    }

    /** Makes a call whose answer is read line by line as it arrives; the caller closes the stream. */
    HttpResponse<Stream<String>> lines(
            String method, InetSocketAddress target, String path, Map<String, String> headers, String body)
            throws IOException, InterruptedException {
        return client.send(request(method, target, path, headers, body), HttpResponse.BodyHandlers.ofLines());
    }

    @Override
    public void close() {
        client.shutdownNow();
    }

    private HttpRequest request(
            String method, InetSocketAddress target, String path, Map<String, String> headers, String body) {
        HttpRequest.Builder request = HttpRequest.newBuilder(
                        URI.create("http://" + target.getAddress().getHostAddress() + ":" + target.getPort() + path))
                .timeout(limit)
                .method(
                        method,
                        body.isEmpty()
                                ? HttpRequest.BodyPublishers.noBody()
                                : HttpRequest.BodyPublishers.ofString(body));
        headers.forEach(request::header);
        return request.build();
    }

    private static Map<String, String> firstValues(HttpResponse<?> answer) {
        return Map.copyOf(answer.headers().map().entrySet().stream()
                .collect(Collectors.toMap(
                        Map.Entry::getKey, entry -> entry.getValue().getFirst())));
    }
}
