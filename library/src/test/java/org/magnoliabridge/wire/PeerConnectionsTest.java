package org.magnoliabridge.wire;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.io.DataInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.util.Arrays;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.magnoliabridge.core.CloseFailedException;
import org.magnoliabridge.core.Closer;
import org.magnoliabridge.core.MonotonicClock;
import org.magnoliabridge.ids.Incarnation;
import org.magnoliabridge.ids.NodeId;
import org.magnoliabridge.ids.ProcessName;
import org.magnoliabridge.wire.PeerEvents.CloseReason;

class PeerConnectionsTest {
    private static final InetSocketAddress ANY_PORT = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    private static final ClusterSecrets OLD = secrets(1, 0);
    private static final long WAIT_S = 20;

    private final Closer closer = new Closer();

    private static ClusterSecrets secrets(int first, int second) {
        byte[] one = new byte[32];
        byte[] two = new byte[32];
        Arrays.fill(one, (byte) first);
        Arrays.fill(two, (byte) second);
        return new ClusterSecrets(one, second == 0 ? Optional.empty() : Optional.of(two));
    }

    private static Frame frame(String from, String text) {
        return new Frame(FrameType.PING, new NodeId(from), 1, text.getBytes(StandardCharsets.UTF_8));
    }

    @AfterEach
    void close() throws CloseFailedException {
        closer.close();
    }

    /** A listening node that keeps what it received and answers nothing. */
    private final class Node implements PeerEvents {
        private final String name;
        private final PeerConnections connections;
        private final PeerListener listener;
        private final BlockingQueue<String> texts = new LinkedBlockingQueue<>();
        private final BlockingQueue<CloseReason> closes = new LinkedBlockingQueue<>();

        private Node(String name, ClusterSecrets secrets) throws IOException {
            this(name, secrets, 1);
        }

        private Node(String name, ClusterSecrets secrets, long start) throws IOException {
            this.name = name;
            connections = closer.register(new PeerConnections(
                    new NodeId(name), new Incarnation(start), secrets, this, MonotonicClock.system()));
            listener = closer.register(new PeerListener(ANY_PORT, connections));
        }

        @Override
        public void received(ProcessName peer, Frame frame) {
            texts.add(peer.node() + ":" + new String(frame.body(), StandardCharsets.UTF_8));
        }

        @Override
        public void closed(CloseReason reason) {
            closes.add(reason);
        }

        private boolean send(String to, InetSocketAddress address, String text) {
            return connections.send(Optional.of(new NodeId(to)), address, frame(name, text));
        }

        private void sendToStart(String to, long start, InetSocketAddress address, String text) {
            connections.send(new ProcessName(new NodeId(to), new Incarnation(start)), address, frame(name, text));
        }

        private String nextText() throws InterruptedException {
            return texts.poll(WAIT_S, TimeUnit.SECONDS);
        }

        private CloseReason nextClose() throws InterruptedException {
            return closes.poll(WAIT_S, TimeUnit.SECONDS);
        }
    }

    /** Guards against two connections where one does: the answer goes back over the caller's. */
    @Test
    void answersOverTheSameConnection() throws Exception {
        Node a = new Node("a", OLD);
        Node b = new Node("b", OLD);
        a.send("b", b.listener.address(), "ping");
        assertThat(b.nextText(), equalTo("a:ping"));
        InetSocketAddress nowhere = new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);
        assertThat(b.send("a", nowhere, "ack"), is(true));
        assertThat(a.nextText(), equalTo("b:ack"));
    }

    /** Guards against a frame for an ended process that the next process of its node gets. */
    @Test
    void frameForAnEndedProcessIsNotSentToTheNextOne() throws Exception {
        Node a = new Node("a", OLD);
        Node second = new Node("b", OLD, 2);
        a.sendToStart("b", 1, second.listener.address(), "dialled for the first");
        a.sendToStart("b", 2, second.listener.address(), "for the second");
        assertThat(second.nextText(), equalTo("a:for the second"));
        a.sendToStart("b", 1, second.listener.address(), "for the first");
        a.send("b", second.listener.address(), "for any");
        assertThat(second.nextText(), equalTo("a:for any"));
        assertThat(a.connections.stats().misaddressed(), is(2L));
    }

    /** Guards the replacement of a secret: nodes with the old and the new first secret understand each other. */
    @Test
    void acceptsTwoSecretsAndNoThird() throws Exception {
        Node a = new Node("a", secrets(2, 1));
        Node b = new Node("b", secrets(1, 2));
        a.send("b", b.listener.address(), "new");
        assertThat(b.nextText(), equalTo("a:new"));
        Node c = new Node("c", secrets(3, 0));
        c.send("b", b.listener.address(), "wrong");
        assertThat(b.nextClose(), is(CloseReason.INVALID_FRAME));
        assertThat(b.connections.stats().rejectedFor(FrameException.Reason.BAD_MAC), is(1L));
    }

    /** Guards against a frame that reaches another node than the one it was meant for. */
    @Test
    void refusesAnotherNodeAtTheAddress() throws Exception {
        Node a = new Node("a", OLD);
        Node b = new Node("b", OLD);
        a.send("c", b.listener.address(), "for c");
        assertThat(a.nextClose(), is(CloseReason.WRONG_NODE));
        assertThat(b.texts.isEmpty(), is(true));
    }

    /** Guards against a listener that stops or hangs on bytes from anyone; seeds 0 to 39. */
    @Test
    void survivesAnyBytes() throws Exception {
        Node b = new Node("b", OLD);
        for (int seed = 0; seed < 40; seed++) {
            Random random = new Random(seed);
            byte[] bytes = new byte[random.nextInt(3_000)];
            random.nextBytes(bytes);
            if (seed % 2 == 0 && bytes.length > 4) {
                Arrays.fill(bytes, 0, 3, (byte) 0); // A short claimed length, so that the HMAC is reached.
            }
            try (Socket socket = new Socket(
                    b.listener.address().getAddress(), b.listener.address().getPort())) {
                socket.getOutputStream().write(bytes);
                socket.shutdownOutput();
                assertThat("seed " + seed, b.nextClose() == null, is(false));
            }
        }
        try (Socket mute = new Socket(
                b.listener.address().getAddress(), b.listener.address().getPort())) {
            assertThat(mute.isConnected(), is(true));
            assertThat(b.nextClose(), is(CloseReason.NO_HANDSHAKE));
        }
        Node a = new Node("a", OLD);
        a.send("b", b.listener.address(), "still here");
        assertThat(b.nextText(), equalTo("a:still here"));
    }

    /** Guards against recorded frames: twice on one connection, and on another connection. */
    @Test
    void refusesReplays() throws Exception {
        Node b = new Node("b", OLD);
        byte[] recorded = rawSession(b, session -> encode(session, 1));
        assertThat(b.nextText(), equalTo("x:1"));
        assertThat(b.nextClose(), is(CloseReason.INVALID_FRAME));
        assertThat(b.connections.stats().rejectedFor(FrameException.Reason.BAD_SEQUENCE), is(1L));
        rawSession(b, session -> recorded);
        assertThat(b.nextClose(), is(CloseReason.INVALID_FRAME));
        assertThat(b.connections.stats().rejectedFor(FrameException.Reason.BAD_MAC), is(1L));
        assertThat(b.texts.isEmpty(), is(true));
    }

    private static byte[] encode(Handshake.Session session, long sequence) {
        try {
            return FrameCodec.encode(frame("x", Long.toString(sequence)), sequence, session.writeKey());
        } catch (FrameException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Opens a connection as node x and sends the same bytes twice. */
    private byte[] rawSession(Node to, Function<Handshake.Session, byte[]> bytes) throws IOException {
        Handshake handshake = new Handshake(new NodeId("x"), new Incarnation(1), OLD, new SecureRandom());
        Socket socket = closer.register(
                new Socket(ANY_PORT.getAddress(), to.listener.address().getPort()));
        Handshake.Session session =
                handshake.call(new DataInputStream(socket.getInputStream()), socket.getOutputStream());
        byte[] sent = bytes.apply(session);
        socket.getOutputStream().write(sent);
        socket.getOutputStream().write(sent);
        return sent;
    }

    /** Guards against a connection that goes silent for good while new ones work. */
    @Test
    void replacesASilentConnection() throws Exception {
        Node a = new Node("a", OLD);
        Node b = new Node("b", OLD);
        FreezingRelay relay = closer.register(new FreezingRelay(b.listener.address()));
        a.send("b", relay.address(), "before");
        assertThat(b.nextText(), equalTo("a:before"));
        relay.freeze();
        a.send("b", relay.address(), "lost");
        assertThat(a.nextClose(), is(CloseReason.SILENT));
        a.send("b", relay.address(), "after");
        assertThat(b.nextText(), equalTo("a:after"));
    }

    /** Guards against unbounded memory for a node that accepts connections and reads nothing. */
    @Test
    void dropsFramesWhenTheQueueIsFull() throws Exception {
        Node a = new Node("a", OLD);
        try (ServerSocket mute = new ServerSocket(0, 1, ANY_PORT.getAddress())) {
            InetSocketAddress address = (InetSocketAddress) mute.getLocalSocketAddress();
            int queued = 0;
            for (int i = 0; i < 2_000; i++) {
                queued += a.send("b", address, "x") ? 1 : 0;
            }
            assertThat(queued, lessThan(300));
            assertThat(a.connections.stats().dropped(), greaterThan(1_000L));
        }
    }

    /** Guards against the loss of all calls between two nodes because one answer does not fit a frame. */
    @Test
    void frameThatIsTooLargeDoesNotCloseTheConnection() throws Exception {
        Node a = new Node("a", OLD);
        Node b = new Node("b", OLD);
        a.send("b", b.listener.address(), "before");
        assertThat(b.nextText(), equalTo("a:before"));
        assertThat(a.send("b", b.listener.address(), "x".repeat(FrameCodec.MAX_BYTES)), is(false));
        assertThat(a.send("b", b.listener.address(), "after"), is(true));
        assertThat(b.nextText(), equalTo("a:after"));
        assertThat(a.connections.stats().dropped(), is(1L));
    }

    /** Passes bytes on; connections that were open at a freeze stay open and pass nothing more. */
    private static final class FreezingRelay implements AutoCloseable {
        private final ServerSocket server = new ServerSocket(0, 10, ANY_PORT.getAddress());
        private final Closer sockets = new Closer();
        private final AtomicInteger generation = new AtomicInteger();

        private FreezingRelay(InetSocketAddress target) throws IOException {
            Thread.ofVirtual().start(() -> {
                try {
                    while (true) {
                        Socket in = sockets.register(server.accept());
                        Socket out = sockets.register(new Socket(target.getAddress(), target.getPort()));
                        int mine = generation.get();
                        Thread.ofVirtual().start(() -> pass(in, out, mine));
                        Thread.ofVirtual().start(() -> pass(out, in, mine));
                    }
                } catch (IOException e) {
                    assertThat(server.isClosed(), is(true));
                }
            });
        }

        private void pass(Socket from, Socket to, int mine) {
            byte[] buffer = new byte[4_096];
            try {
                InputStream in = from.getInputStream();
                OutputStream out = to.getOutputStream();
                for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
                    if (mine == generation.get()) {
                        out.write(buffer, 0, n);
                    }
                }
            } catch (IOException e) {
                assertThat(from.isClosed() || to.isClosed() || mine < generation.get(), is(true));
            }
        }

        private void freeze() {
            generation.incrementAndGet();
        }

        private InetSocketAddress address() {
            return (InetSocketAddress) server.getLocalSocketAddress();
        }

        @Override
        public void close() throws IOException, CloseFailedException {
            server.close();
            sockets.close();
        }
    }
}
