import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;

/** HTTP/1.1 messages over plain sockets. */
final class Http {
    /** One message; the first line is a request line or a status line. */
    record Message(String firstLine, Map<String, String> headers, byte[] body) {
        int status() {
            return Integer.parseInt(firstLine.split(" ")[1]);
        }

        String method() {
            return firstLine.split(" ")[0];
        }

        String target() {
            return firstLine.split(" ")[1];
        }

        String header(String name) {
            return headers.getOrDefault(name, "");
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    private Http() {}

    /** Makes one call on a new connection. */
    static Message call(InetSocketAddress to, String method, String target, Map<String, String> headers, byte[] body,
            int limitMs) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(to, 1_000);
            socket.setSoTimeout(limitMs);
            socket.setTcpNoDelay(true);
            write(socket.getOutputStream(), method, target, headers, body);
            return read(new BufferedInputStream(socket.getInputStream()), method.equals("HEAD"));
        }
    }

    static void write(OutputStream out, String method, String target, Map<String, String> headers, byte[] body)
            throws IOException {
        StringBuilder head = new StringBuilder(method + " " + target + " HTTP/1.1\r\n");
        new LinkedHashMap<>(headers).forEach((n, v) -> head.append(n).append(": ").append(v).append("\r\n"));
        if (body.length > 0 || !method.equals("GET")) {
            head.append("Content-Length: ").append(body.length).append("\r\n");
        }
        out.write(head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1));
        out.write(body);
        out.flush();
    }

    /** Reads a whole message. */
    static Message read(InputStream in, boolean headOnly) throws IOException {
        Message head = readHead(in);
        byte[] body = headOnly ? new byte[0] : readBody(in, head);
        return new Message(head.firstLine(), head.headers(), body);
    }

    static Message readHead(InputStream in) throws IOException {
        String first = line(in);
        Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        for (String line = line(in); !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).strip(), line.substring(colon + 1).strip());
        }
        return new Message(first, headers, new byte[0]);
    }

    private static byte[] readBody(InputStream in, Message head) throws IOException {
        if (!head.header("Content-Length").isEmpty()) {
            int length = Integer.parseInt(head.header("Content-Length"));
            byte[] body = in.readNBytes(length);
            if (body.length < length) {
                throw new EOFException("the body ended early");
            }
            return body;
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if (head.header("Transfer-Encoding").equalsIgnoreCase("chunked")) {
            for (int size = chunk(in); size > 0; size = chunk(in)) {
                byte[] piece = in.readNBytes(size);
                if (piece.length < size) {
                    throw new EOFException("a chunk ended early");
                }
                body.write(piece);
                line(in);
            }
            while (!line(in).isEmpty()) {
                continue;
            }
        }
        return body.toByteArray();
    }

    private static int chunk(InputStream in) throws IOException {
        return Integer.parseInt(line(in).split(";")[0].strip(), 16);
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                throw new EOFException("the connection ended");
            }
            if (b != '\r') {
                line.write(b);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }
}
