import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** A small HTTP/1.1 client: one call on a new connection, as the callers of the system make them. */
final class Http {
    /** An answer; status 0 means that the connection ended or stayed silent without a complete answer. */
    record Answer(int status, Map<String, String> headers, byte[] body, String failure) {
        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }

        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }
    }

    private Http() {}

    static Answer call(
            InetSocketAddress to, String method, String path, Map<String, String> headers, byte[] body, long limitMs) {
        try (Socket socket = new Socket()) {
            socket.setTcpNoDelay(true);
            socket.connect(to, 1_000);
            return exchange(socket, method, path, headers, body, limitMs);
        } catch (IOException e) {
            return new Answer(0, Map.of(), new byte[0], e.toString());
        }
    }

    static Answer exchange(
            Socket socket, String method, String path, Map<String, String> headers, byte[] body, long limitMs)
            throws IOException {
        StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
        headers.forEach((n, v) -> head.append(n).append(": ").append(v).append("\r\n"));
        if (body.length > 0 || !method.equals("GET")) {
            head.append("Content-Length: ").append(body.length).append("\r\n");
        }
        OutputStream out = socket.getOutputStream();
        out.write((head + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
        try {
            out.write(body);
            out.flush();
        } catch (IOException e) {
            // The answer may have come before the whole body was written.
            return read(socket, limitMs);
        }
        return read(socket, limitMs);
    }

    private static Answer read(Socket socket, long limitMs) throws IOException {
        socket.setSoTimeout((int) limitMs);
        InputStream in = new BufferedInputStream(socket.getInputStream());
        String first = line(in);
        if (first == null || !first.startsWith("HTTP/1.1 ")) {
            throw new IOException("no answer, first line " + first);
        }
        int status = Integer.parseInt(first.substring(9, 12));
        Map<String, String> headers = new LinkedHashMap<>();
        for (String l = line(in); l != null && !l.isEmpty(); l = line(in)) {
            int colon = l.indexOf(':');
            headers.put(l.substring(0, colon).toLowerCase(Locale.ROOT), l.substring(colon + 1).strip());
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if (headers.containsKey("content-length")) {
            int length = Integer.parseInt(headers.get("content-length"));
            byte[] all = in.readNBytes(length);
            if (all.length < length) {
                throw new IOException("the answer ended early");
            }
            body.write(all);
        } else if (headers.getOrDefault("transfer-encoding", "").equals("chunked")) {
            for (int size = chunkSize(in); size > 0; size = chunkSize(in)) {
                byte[] chunk = in.readNBytes(size);
                if (chunk.length < size) {
                    throw new IOException("the answer ended early");
                }
                body.write(chunk);
                line(in);
            }
            line(in);
        }
        return new Answer(status, headers, body.toByteArray(), "");
    }

    private static int chunkSize(InputStream in) throws IOException {
        String l = line(in);
        if (l == null) {
            throw new IOException("the answer ended early");
        }
        return Integer.parseInt(l.split(";")[0].strip(), 16);
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b >= 0; b = in.read()) {
            if (b == '\n') {
                String text = line.toString(StandardCharsets.ISO_8859_1);
                return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            }
            line.write(b);
        }
        return null;
    }
}
