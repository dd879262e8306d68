import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A model sampler as PROTOCOL.md describes it: a request names the sampler it is meant for, and may name a version of the
 * weights; any other sampler or version is answered 421. Runs have events with increasing ids.
 */
final class Sampler implements AutoCloseable {
    /** What a sampler answers to one request that it runs. */
    interface Script {
        /** Returns the status: 200 for a stream of events, 500 for a failed attempt. */
        default int status(Http.Message request) {
            return 200;
        }

        default int events(Http.Message request) {
            return 10;
        }

        default long eventMs(Http.Message request) {
            return 100;
        }

        default byte[] event(Http.Message request, int number) {
            return ("data of event " + number + " of " + request.header("X-Attempt-Id"))
                    .getBytes(StandardCharsets.UTF_8);
        }
    }

    final String id;
    private final String service;
    private final String zone;
    private final String model;
    private final int slots;
    private final Script script;
    private final Lab lab;
    private final ServerSocket server;
    private final Semaphore free;
    private final Semaphore queue;
    private final AtomicInteger orders = new AtomicInteger();
    private final AtomicInteger running = new AtomicInteger();
    private final long born = System.currentTimeMillis();
    private volatile int version = 1;
    private volatile boolean busy;
    private long seq;

    Sampler(Lab lab, String id, String service, String zone, String model, int slots, Script script)
            throws IOException {
        this.lab = lab;
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.model = model;
        this.slots = slots;
        this.script = script;
        this.free = new Semaphore(slots, true);
        this.queue = new Semaphore(slots + 3 * slots, true);
        server = new ServerSocket(0, 500, InetAddress.getByName("127.0.0.1"));
        Thread.ofPlatform().daemon().name("sampler-" + id).start(this::accept);
    }

    int running() {
        return running.get();
    }

    int version() {
        return version;
    }

    /** Writes this sampler's entry into the store; called about once a heartbeat. */
    synchronized void beat() throws IOException {
        String models = model.isEmpty()
                ? ""
                : ",\"Models\":[{\"Name\":\"" + model + "\",\"Version\":" + version + ",\"Adapters\":[]}]";
        lab.store.put(
                "servers/" + id,
                """
                {"Service":"%s","Address":"127.0.0.1:%d","Zone":"%s","Version":"v1","Slots":%d,"State":"ready",
                 "ColdLeftMs":0%s,"Seq":%d,"born":%d}"""
                        .formatted(service, server.getLocalPort(), zone, slots, models, ++seq, born));
    }

    @Override
    public void close() throws IOException {
        server.close();
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                Thread.ofVirtual().start(() -> serve(socket));
            } catch (IOException e) {
                if (!server.isClosed()) {
                    lab.record("sampler " + id + ": " + e);
                }
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            while (true) {
                Http.Message request = Http.read(in, false);
                handle(request, socket);
            }
        } catch (IOException | InterruptedException e) {
            // The caller has closed the connection.
        }
    }

    private void handle(Http.Message request, Socket socket) throws IOException, InterruptedException {
        OutputStream out = socket.getOutputStream();
        String path = request.target();
        String expected = request.header("X-Expect-Instance");
        if (!expected.isEmpty() && !expected.equals(id)) {
            lab.record("sampler %s: %s %s answered 421, it is meant for %s".formatted(id, request.method(), path, expected));
            answer(out, request, 421, "X-Not-Executed: 1\r\n", "");
        } else if (path.equals("/-/report")) {
            answer(out, request, 200, "Content-Type: application/json\r\n", report());
        } else if (path.equals("/-/order")) {
            order(request, out);
        } else if (path.equals("/healthz")) {
            answer(out, request, 200, "X-Instance-Id: " + id + "\r\n", "");
        } else {
            run(request, out, socket);
        }
    }

    private String report() {
        return """
                {"Stage":"both","Models":[{"Name":"%s","Version":%d,"Adapters":[]}],"Busy":%b,"Seq":%d,"Waiting":0,\
                "Running":%d,"KvUsed":0,"KvTotal":102972,"Handles":0}"""
                .formatted(model, version, busy, orders.get(), running.get());
    }

    private void order(Http.Message request, OutputStream out) throws IOException {
        int wanted = Lab.json(request.body()).path("Version").asInt();
        lab.record("sampler %s: order %s".formatted(id, request.text()));
        if (wanted == version) {
            answer(out, request, 200, "", "");
            return;
        }
        orders.incrementAndGet();
        busy = true;
        Thread.ofVirtual().start(() -> {
            try {
                Thread.sleep(lab.loadMs);
                version = wanted;
                busy = false;
                lab.record("sampler %s: has version %d".formatted(id, wanted));
                beat();
            } catch (IOException | InterruptedException e) {
                lab.record("sampler " + id + ": " + e);
            }
        });
        answer(out, request, 202, "", "");
    }

    private void run(Http.Message request, OutputStream out, Socket socket) throws IOException, InterruptedException {
        String attempt = request.header("X-Attempt-Id");
        String named = request.header("X-Expect-Version");
        if (!named.isEmpty() && Integer.parseInt(named) != version) {
            lab.record("sampler %s: %s answered 421, it expects version %s and this is %d"
                    .formatted(id, attempt, named, version));
            answer(out, request, 421, "X-Not-Executed: 1\r\n", "");
            return;
        }
        if (busy || !queue.tryAcquire()) {
            answer(out, request, 503, "X-Not-Executed: 1\r\n", "");
            return;
        }
        String deadline = request.header("X-Deadline-Ms");
        long limitMs = deadline.isEmpty() ? 60_000 : Long.parseLong(deadline);
        long endNanos = System.nanoTime() + limitMs * 1_000_000;
        try {
            if (!free.tryAcquire(limitMs, TimeUnit.MILLISECONDS)) {
                answer(out, request, 503, "X-Not-Executed: 1\r\n", "");
                return;
            }
            running.incrementAndGet();
            Thread atDeadline = Thread.ofVirtual().start(() -> closeAt(endNanos, socket));
            try {
                lab.ran(id, attempt, request.header("X-Tenant"));
                generate(request, out, endNanos);
            } finally {
                atDeadline.interrupt();
                running.decrementAndGet();
                free.release();
            }
        } finally {
            queue.release();
        }
    }

    // A sampler stops work at its deadline, also while its caller reads nothing.
    private void closeAt(long endNanos, Socket socket) {
        try {
            Thread.sleep(Math.max(0, (endNanos - System.nanoTime()) / 1_000_000));
            socket.close();
        } catch (IOException | InterruptedException e) {
            // The run has ended.
        }
    }

    private void generate(Http.Message request, OutputStream out, long endNanos)
            throws IOException, InterruptedException {
        int status = script.status(request);
        if (status != 200) {
            answer(out, request, status, "", "");
            return;
        }
        String last = request.header("Last-Event-Id");
        out.write(("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + request.header("X-Attempt-Id") + "\r\nX-Response-Seal: s." + id
                + "\r\nX-Weight-Versions: " + version
                + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
                        .getBytes(StandardCharsets.ISO_8859_1));
        int begunUnder = version;
        for (int n = last.isEmpty() ? 1 : Integer.parseInt(last) + 1; n <= script.events(request); n++) {
            Thread.sleep(script.eventMs(request));
            if (System.nanoTime() > endNanos) {
                throw new IOException("the deadline is over");
            }
            String change = version == begunUnder ? "" : "x-weight-versions: " + version + "\n";
            begunUnder = version;
            byte[] data = script.event(request, n);
            byte[] head = (change + "id: " + n + "\ndata: ").getBytes(StandardCharsets.UTF_8);
            out.write(Integer.toHexString(head.length + data.length + 2).getBytes(StandardCharsets.US_ASCII));
            out.write("\r\n".getBytes(StandardCharsets.US_ASCII));
            out.write(head);
            out.write(data);
            out.write("\n\n\r\n".getBytes(StandardCharsets.US_ASCII));
            out.flush();
        }
        out.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        out.flush();
    }

    private void answer(OutputStream out, Http.Message request, int status, String headers, String body)
            throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        String attempt = request.header("X-Attempt-Id");
        String own = attempt.isEmpty() ? "" : "X-Attempt-Id: " + attempt + "\r\nX-Response-Seal: s." + id + "\r\n";
        out.write(("HTTP/1.1 " + status + " Answer\r\n" + own + headers + "Content-Length: " + bytes.length + "\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
        out.write(bytes);
        out.flush();
    }
}
