import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Passes connections on to a loopback address; those that are open can go silent for good, while new ones work. */
final class Proxy {
    private final ServerSocket server;
    private final InetSocketAddress target;
    private final Set<Pair> open = ConcurrentHashMap.newKeySet();

    private static final class Pair {
        private volatile boolean silent;
    }

    Proxy(InetSocketAddress target) throws IOException {
        this.target = target;
        server = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        Thread.ofVirtual().start(() -> {
            try {
                while (true) {
                    Socket client = server.accept();
                    Thread.ofVirtual().start(() -> pass(client));
                }
            } catch (IOException e) {
                // The proxy is closed.
            }
        });
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** From now on nothing passes on the connections that are open; they are neither reset nor closed. */
    void silenceOpen() {
        open.forEach(pair -> pair.silent = true);
    }

    private void pass(Socket client) {
        Pair pair = new Pair();
        try {
            Socket behind = new Socket();
            behind.connect(target, 1_000);
            behind.setTcpNoDelay(true);
            client.setTcpNoDelay(true);
            open.add(pair);
            Thread.ofVirtual().start(() -> copy(pair, behind, client));
            copy(pair, client, behind);
        } catch (IOException e) {
            close(client);
        }
    }

    private void copy(Pair pair, Socket from, Socket to) {
        byte[] buffer = new byte[16_384];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                if (!pair.silent) {
                    out.write(buffer, 0, count);
                }
            }
        } catch (IOException e) {
            // The other side ends below.
        }
        if (!pair.silent) {
            open.remove(pair);
            close(from);
            close(to);
        }
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // It is closed already.
        }
    }
}
