import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpHandler;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Executors;

/** Helpers of the HTTP stand-ins, which listen on loopback addresses and free ports. */
final class Servers {
    private Servers() {}

    static HttpServer start(HttpHandler handler) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 200);
        server.createContext("/", exchange -> {
            try {
                handler.handle(exchange);
            } catch (IOException | RuntimeException e) {
                exchange.close();
            }
        });
        server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
        server.start();
        return server;
    }

    static String address(HttpServer server) {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    static void send(HttpExchange ex, int status, Map<String, String> headers, byte[] body) throws IOException {
        headers.forEach((name, value) -> ex.getResponseHeaders().set(name, value));
        ex.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
        try (OutputStream out = ex.getResponseBody()) {
            if (body.length > 0) {
                out.write(body);
            }
        }
        ex.close();
    }

    static Map<String, String> query(HttpExchange ex) {
        Map<String, String> query = new HashMap<>();
        String raw = ex.getRequestURI().getRawQuery();
        if (raw != null) {
            for (String part : raw.split("&")) {
                String[] pair = part.split("=", 2);
                query.put(pair[0], pair.length > 1 ? URLDecoder.decode(pair[1], StandardCharsets.UTF_8) : "");
            }
        }
        return query;
    }
}
