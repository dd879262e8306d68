import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A TCP proxy between one machine and the store; while cut, it passes nothing in either direction. */
final class Proxy implements AutoCloseable {
    private final ServerSocket listener;
    private final InetSocketAddress target;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private volatile boolean cut;

    Proxy(String ip, InetSocketAddress target) throws IOException {
        this.target = target;
        listener = new ServerSocket(0, 256, InetAddress.getByName(ip));
        Thread.ofVirtual().start(this::accept);
    }

    String address() {
        return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
    }

    boolean isCut() {
        return cut;
    }

    /** Holds all bytes back while cut; they are passed on afterwards, as after a partition. */
    void setCut(boolean nowCut) {
        cut = nowCut;
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
                Socket in = listener.accept();
                Thread.ofVirtual().start(() -> open(in));
            }
        } catch (IOException e) {
            // The listener was closed.
        }
    }

    private void open(Socket in) {
        try {
            awaitHealed();
            Socket out = new Socket();
            sockets.add(in);
            sockets.add(out);
            in.setTcpNoDelay(true);
            out.setTcpNoDelay(true);
            out.connect(target, 2_000);
            Thread.ofVirtual().start(() -> pump(in, out));
            pump(out, in);
        } catch (IOException e) {
            close(in);
        }
    }

    private void pump(Socket from, Socket to) {
        byte[] buffer = new byte[64 * 1024];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                awaitHealed();
                out.write(buffer, 0, count);
                out.flush();
            }
        } catch (IOException e) {
            // One side has closed.
        }
        close(from);
        close(to);
    }

    private void awaitHealed() throws IOException {
        try {
            while (cut) {
                Thread.sleep(5);
            }
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    private void close(Socket socket) {
        sockets.remove(socket);
        try {
            socket.close();
        } catch (IOException e) {
            // Closed already.
        }
    }
}
