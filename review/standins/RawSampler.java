import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A sampler on plain sockets: streams items, and answers some with status 422. If it is faulty, it sends a second copy
 * of such an answer late, on the connection of the first one, at the point where the next answer is expected.
 */
final class RawSampler implements AutoCloseable {
    /** An answer that the sampler has begun to send. */
    record Sent(String id, int status, String expected) {}

    private final String id;
    private final Set<String> impossible;
    private final boolean faulty;
    private final ServerSocket listener;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final List<Sent> sent = new CopyOnWriteArrayList<>();
    private final List<Sent> extra = new CopyOnWriteArrayList<>();

    RawSampler(String ip, String id, Set<String> impossible, boolean faulty) throws IOException {
        this.id = id;
        this.impossible = impossible;
        this.faulty = faulty;
        listener = new ServerSocket(0, 256, InetAddress.getByName(ip));
        Thread.ofVirtual().start(this::accept);
    }

    String id() {
        return id;
    }

    String entry(String service, String zone, int slots) {
        return """
                {"Service":"%s","Address":"%s:%d","Zone":"%s","Version":"v1","Slots":%d,"State":"ready","ColdLeftMs":0,
                 "Stage":"both","Models":[{"Name":"m0","Version":1,"Adapters":[]}],"Seq":4,"born":%d}
                """.formatted(service, listener.getInetAddress().getHostAddress(), listener.getLocalPort(), zone, slots,
                System.currentTimeMillis() - 60_000);
    }

    /** Returns the answers to requests, in the order in which they were begun. */
    List<Sent> sent() {
        return sent;
    }

    /** Returns the second copies, with the id of the request at whose place each was sent. */
    List<Sent> extra() {
        return extra;
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                sockets.add(socket);
                Thread.ofVirtual().start(() -> serve(socket));
            }
        } catch (IOException e) {
            // The listener was closed.
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            byte[] copy = null;
            Sent copied = null;
            for (String first = line(in); first != null; first = line(in)) {
                Map<String, String> headers = new HashMap<>();
                for (String l = line(in); l != null && !l.isEmpty(); l = line(in)) {
                    headers.put(l.substring(0, l.indexOf(':')).toLowerCase(Locale.ROOT),
                            l.substring(l.indexOf(':') + 1).strip());
                }
                in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
                String request = headers.getOrDefault("x-attempt-id", "");
                if (copy != null) {
                    extra.add(new Sent(copied.id(), copied.status(), request));
                    write(out, copy);
                    copy = null;
                }
                String path = first.split(" ")[1];
                if (path.startsWith("/-/") || path.equals("/healthz")) {
                    write(out, control(path).getBytes(StandardCharsets.ISO_8859_1));
                } else if (impossible.contains(request)) {
                    byte[] answer = ("HTTP/1.1 422 Unprocessable Entity\r\nX-Attempt-Id: " + request
                            + "\r\nX-Response-Seal: seal-" + request + "\r\nContent-Length: 0\r\n\r\n")
                            .getBytes(StandardCharsets.ISO_8859_1);
                    sent.add(new Sent(request, 422, request));
                    write(out, answer);
                    copy = faulty ? answer : null;
                    copied = new Sent(request, 422, request);
                } else {
                    sent.add(new Sent(request, 200, request));
                    stream(out, request, Long.parseLong(headers.getOrDefault("last-event-id", "0")));
                }
            }
        } catch (IOException | InterruptedException e) {
            // The caller has closed the connection.
        } finally {
            sockets.remove(socket);
        }
    }

    private static String control(String path) {
        String body = path.equals("/-/report")
                ? "{\"Stage\":\"both\",\"Models\":[{\"Name\":\"m0\",\"Version\":1,\"Adapters\":[]}],\"Busy\":false,"
                        + "\"Seq\":2,\"Waiting\":0,\"Running\":0,\"KvUsed\":0,\"KvTotal\":90000,\"Handles\":0}"
                : "{}";
        return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + body.length() + "\r\n\r\n"
                + body;
    }

    private void stream(OutputStream out, String request, long last) throws IOException, InterruptedException {
        write(out, ("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + request + "\r\nX-Response-Seal: seal-" + request
                + "\r\nX-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
        for (long n = last + 1; n <= 10; n++) {
            Thread.sleep(50);
            String event = "id: " + n + "\ndata: " + request + "#" + n + "\n\n";
            write(out, (Integer.toHexString(event.length()) + "\r\n" + event + "\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1));
        }
        write(out, "0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
    }

    private static void write(OutputStream out, byte[] bytes) throws IOException {
        out.write(bytes);
        out.flush();
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b >= 0; b = in.read()) {
            if (b == '\n') {
                return line.toString(StandardCharsets.ISO_8859_1).stripTrailing();
            }
            line.write(b);
        }
        return null;
    }
}
