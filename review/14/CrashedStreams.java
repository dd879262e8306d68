import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Pattern;

/** A sampler crashes while it sends streams to clients that use each connection for one request, and say so. */
public final class CrashedStreams {
    private static final int CLIENTS = 4;
    private static final int EVENTS = 20;
    private static final int GAP_MS = 450;
    private static final long CRASH_AFTER_MS = 4_000;

    private final Lab.Record record;
    private final AtomicInteger falselyComplete = new AtomicInteger();
    private final AtomicInteger complete = new AtomicInteger();
    private final AtomicInteger cut = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();

    private CrashedStreams(Lab.Record record) {
        this.record = record;
    }

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status;
        try (Lab.Record record = new Lab.Record(Path.of("review/14/record.txt"));
                Lab lab = new Lab(record)) {
            try {
                status = new CrashedStreams(record).run(lab, trouble);
            } catch (IllegalStateException | IOException e) {
                record.line("the case could not run: %s", e);
                status = 2;
            }
            record.line("exit status %d", status);
        }
        System.exit(status);
    }

    private int run(Lab lab, boolean trouble) throws Exception {
        ObjectNode config = Lab.config(1, "team1");
        ((ArrayNode) config.get("Routes")).addObject().put("Name", "r-stream").put("Host", Lab.HOST)
                .put("PathPrefix", "/lohu930/").put("Type", "streaming").put("TimeoutMs", 10_000)
                .put("GoalMs", 800).put("Priority", 1).put("Service", Lab.ENGINES).put("MaxAttempts", 2)
                .put("Public", false).put("Sticky", true);
        lab.store.put("config", "main", config);
        List<Sampler> samplers = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            samplers.add(new Sampler("i-00" + i, Lab.ENGINES, Lab.ZONES[i], Lab.MODEL, lab.store, record));
        }
        for (String zone : Lab.ZONES) {
            lab.addNode(zone);
        }
        for (Lab.Node node : lab.nodes) {
            node.awaitReady(30_000);
        }
        Thread.sleep(3_000);
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            String id = "7c41e09b52d6a3f" + i;
            Lab.Node node = lab.nodes.get(0);
            clients.add(Thread.ofVirtual().start(() -> request(node, id)));
        }
        Thread.sleep(CRASH_AFTER_MS);
        if (trouble) {
            samplers.stream().max(Comparator.comparingInt(Sampler::running)).orElseThrow().crash();
        }
        for (Thread client : clients) {
            client.join();
        }
        record.line("%d streams were complete, %d cut, %d refused, and %d seemed complete before their last event",
                complete.get(), cut.get(), refused.get(), falselyComplete.get());
        return falselyComplete.get() > 0 ? 1 : complete.get() + cut.get() > 0 ? 0 : 2;
    }

    private void request(Lab.Node node, String id) {
        ByteArrayOutputStream received = new ByteArrayOutputStream();
        boolean reset = false;
        try (Socket socket = new Socket()) {
            socket.connect(node.front, 1_000);
            socket.setSoTimeout(4_000);
            String body = EVENTS + " " + GAP_MS;
            String head = "POST /lohu930/2f HTTP/1.1\r\nHost: " + Lab.HOST + "\r\nAuthorization: Token key-team1\r\n"
                    + "X-Attempt-Id: " + id + "\r\nX-Deadline-Ms: 12000\r\nX-Model: " + Lab.MODEL
                    + "\r\nConnection: close\r\nX-Token-Usage: 16,1440\r\nX-Prefix-Hash: 9c2e41:16\r\nContent-Length: " + body.length()
                    + "\r\n\r\n";
            record.line("client sends stream request %s to %s", id, node.name);
            socket.getOutputStream().write((head + body).getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().flush();
            InputStream in = socket.getInputStream();
            // The stream has ended when its last chunk has arrived, or at the end of the connection.
            for (int b = in.read(); b >= 0 && !isChunkedEnd(received); b = in.read()) {
                received.write(b);
                if (isChunkedEnd(received)) {
                    break;
                }
            }
        } catch (IOException e) {
            reset = true;
            record.line("the connection of %s failed: %s", id, e);
        }
        judge(id, received.toString(StandardCharsets.ISO_8859_1), reset);
    }

    private static boolean isChunkedEnd(ByteArrayOutputStream received) {
        return received.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n0\r\n\r\n");
    }

    private void judge(String id, String answer, boolean reset) {
        int end = answer.indexOf("\r\n\r\n");
        String head = end < 0 ? "" : answer.substring(0, end);
        String fields = head.toLowerCase(Locale.ROOT);
        boolean success = head.startsWith("HTTP/1.1 200");
        boolean chunked = fields.contains("\r\ntransfer-encoding: chunked");
        boolean seemsComplete = success && !reset && (!chunked || answer.endsWith("\r\n0\r\n\r\n"));
        int events = Pattern.compile("(?m)^data: ").split(answer, -1).length - 1;
        record.line("client got for %s: head %s; %d of %d events; %s", id, head.replace("\r\n", " | "), events, EVENTS,
                reset ? "the connection was reset or silent" : "the connection ended, or the last chunk came");
        if (!success) {
            refused.incrementAndGet();
        } else if (seemsComplete && events < EVENTS) {
            record.line("WRONG: stream %s ends as complete after event %d", id, events);
            falselyComplete.incrementAndGet();
        } else if (seemsComplete) {
            complete.incrementAndGet();
        } else {
            cut.incrementAndGet();
        }
    }
}
