import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** A client that makes each call on a new connection. */
final class Http {
    private Http() {}

    record Answer(int status, Map<String, String> headers, byte[] body) {
        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Makes a call; throws if there is no complete answer in time. */
    static Answer call(
            InetSocketAddress to, String method, String target, Map<String, String> headers, byte[] body, int limitMs)
            throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(to, 1_000);
            socket.setSoTimeout(limitMs);
            StringBuilder head = new StringBuilder(method + " " + target + " HTTP/1.1\r\n");
            headers.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
            head.append("Connection: close\r\nContent-Length: " + body.length + "\r\n\r\n");
            OutputStream out = socket.getOutputStream();
            out.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            out.write(body);
            out.flush();
            return read(new DataInputStream(socket.getInputStream()));
        }
    }

    private static Answer read(DataInputStream in) throws IOException {
        String status = line(in);
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = line(in); !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if (headers.containsKey("content-length")) {
            body.write(in.readNBytes(Integer.parseInt(headers.get("content-length"))));
            if (body.size() != Integer.parseInt(headers.get("content-length"))) {
                throw new EOFException("cut body");
            }
        } else if (headers.getOrDefault("transfer-encoding", "").equals("chunked")) {
            for (int size = Integer.parseInt(line(in), 16); size > 0; size = Integer.parseInt(line(in), 16)) {
                byte[] chunk = new byte[size];
                in.readFully(chunk);
                body.write(chunk);
                line(in);
            }
        } else {
            body.write(in.readAllBytes());
        }
        return new Answer(Integer.parseInt(status.split(" ")[1]), headers, body.toByteArray());
    }

    private static String line(DataInputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                throw new EOFException("no complete answer");
            }
            line.write(b);
        }
        String text = line.toString(StandardCharsets.ISO_8859_1);
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
    }
}
