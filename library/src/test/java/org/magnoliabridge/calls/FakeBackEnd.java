package org.magnoliabridge.calls;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.magnoliabridge.http.LoopbackServer;

/** A back end on a loopback socket that records every received byte and responds according to a test's script. */
public final class FakeBackEnd implements AutoCloseable {
    private static final Pattern LENGTH = Pattern.compile("(?i)content-length: *(\\d+)");
    private static final Pattern PATH = Pattern.compile("^[A-Z]+ (\\S+)");

    private final LoopbackServer server;
    private final Script script;
    private final ByteArrayOutputStream recorded = new ByteArrayOutputStream();
    private final List<Request> requests = new CopyOnWriteArrayList<>();

    /** Responds to one request; returns false to close the connection. */
    @FunctionalInterface
    public interface Script {
        boolean answer(Request request, OutputStream out) throws IOException, InterruptedException;
    }

    /** Thrown by a script to reset the connection instead of closing it. */
    public static final class ConnectionReset extends IOException {}

    /** A received request; {@code head} is in lower case. */
    public record Request(String path, String head, String body) {}

    public FakeBackEnd(Script script) throws IOException {
        this.script = script;
        server = new LoopbackServer(this::serve);
    }

    public InetSocketAddress address() {
        return server.address();
    }

    /** Returns all received bytes as text. */
    public synchronized String recorded() {
        return recorded.toString(StandardCharsets.ISO_8859_1);
    }

    public List<Request> requests(String pathPrefix) {
        return requests.stream().filter(r -> r.path().startsWith(pathPrefix)).toList();
    }

    public static boolean respond(OutputStream out, int status, String type, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        String head = "HTTP/1.1 " + status + " X\r\nContent-Type: " + type + "\r\nContent-Length: " + bytes.length;
        out.write((head + "\r\n\r\n").getBytes(StandardCharsets.UTF_8));
        out.write(bytes);
        return true;
    }

    /** Starts a chunked event stream. */
    public static void startStream(OutputStream out) throws IOException {
        out.write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                .getBytes(StandardCharsets.UTF_8));
    }

    public static void event(OutputStream out, String data) throws IOException {
        byte[] bytes = ("data: " + data + "\n\n").getBytes(StandardCharsets.UTF_8);
        out.write((Integer.toHexString(bytes.length) + "\r\n").getBytes(StandardCharsets.UTF_8));
        out.write(bytes);
        out.write("\r\n".getBytes(StandardCharsets.UTF_8));
    }

    public static boolean endStream(OutputStream out) throws IOException {
        out.write("0\r\n\r\n".getBytes(StandardCharsets.UTF_8));
        return true;
    }

    @Override
    public void close() throws IOException {
        server.close();
    }

    private void serve(Socket socket) throws IOException, InterruptedException {
        boolean open = true;
        while (open) {
            Request request = read(socket.getInputStream());
            if (request == null) {
                return;
            }
            requests.add(request);
            open = answer(request, socket);
        }
    }

    private boolean answer(Request request, Socket socket) throws IOException, InterruptedException {
        try {
            return script.answer(request, socket.getOutputStream());
        } catch (ConnectionReset e) {
            socket.setSoLinger(true, 0);
            return false;
        }
    }

    private Request read(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int b = take(in);
            if (b < 0) {
                return null;
            }
            head.append((char) b);
        }
        Matcher length = LENGTH.matcher(head);
        int bytes = length.find() ? Integer.parseInt(length.group(1)) : 0;
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        for (int i = 0; i < bytes; i++) {
            body.write(take(in));
        }
        Matcher path = PATH.matcher(head);
        return new Request(
                path.find() ? path.group(1) : "",
                head.toString().toLowerCase(Locale.ROOT),
                body.toString(StandardCharsets.UTF_8));
    }

    private synchronized void record(int b) {
        recorded.write(b);
    }

    private int take(InputStream in) throws IOException {
        int b = in.read();
        if (b >= 0) {
            record(b);
        }
        return b;
    }
}
