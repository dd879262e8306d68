package org.magnoliabridge.wire;

import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.security.SecureRandom;
import java.util.Optional;
import org.magnoliabridge.ids.Incarnation;
import org.magnoliabridge.ids.NodeId;
import org.magnoliabridge.ids.ProcessName;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * Exchanges one Hello in each direction and derives the two session keys.
 *
 * <p>A Hello can be replayed by a third party, so a peer is authenticated only by its first session frame, which needs
 * the session key.
 */
final class Handshake {
    private static final int NONCE_BYTES = 16;
    private static final byte[] TO_CALLEE = {1};
    private static final byte[] TO_CALLER = {2};

    private final NodeId self;
    private final Incarnation incarnation;
    private final ClusterSecrets secrets;
    private final SecureRandom random;

    Handshake(NodeId self, Incarnation incarnation, ClusterSecrets secrets, SecureRandom random) {
        this.self = self;
        this.incarnation = incarnation;
        this.secrets = secrets;
        this.random = random;
    }

    NodeId self() {
        return self;
    }

    /** Runs the handshake on the side that opened the connection. */
    Session call(DataInputStream in, OutputStream out) throws IOException {
        byte[] nonce = nonce();
        send(out, nonce, secrets.first());
        byte[] answer = FrameCodec.read(in, FrameCodec.MAX_HELLO_BYTES);
        byte[] secret = secrets.first();
        Hello hello = hello(answer, secret);
        return new Session(
                hello.sender(),
                new MacKey(derive(secret, nonce, hello.nonce(), TO_CALLER)),
                new MacKey(derive(secret, nonce, hello.nonce(), TO_CALLEE)));
    }

    /** Runs the handshake on the side that accepted the connection; answers with the secret that the caller used. */
    Session accept(DataInputStream in, OutputStream out) throws IOException {
        byte[] bytes = FrameCodec.read(in, FrameCodec.MAX_HELLO_BYTES);
        byte[] secret = secrets.first();
        Hello hello;
        try {
            hello = hello(bytes, secret);
        } catch (FrameException e) {
            Optional<byte[]> second = secrets.second();
            if (e.reason() != FrameException.Reason.BAD_MAC || second.isEmpty()) {
                throw e;
            }
            secret = second.get();
            hello = hello(bytes, secret);
        }
        byte[] nonce = nonce();
        send(out, nonce, secret);
        return new Session(
                hello.sender(),
                new MacKey(derive(secret, hello.nonce(), nonce, TO_CALLEE)),
                new MacKey(derive(secret, hello.nonce(), nonce, TO_CALLER)));
    }

    private void send(OutputStream out, byte[] nonce, byte[] secret) throws IOException {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packArrayHeader(2).packLong(incarnation.value());
            packer.packBinaryHeader(nonce.length).writePayload(nonce);
            Frame frame = new Frame(FrameType.HELLO, self, 0, packer.toByteArray());
            out.write(FrameCodec.encode(frame, 0, new MacKey(secret)));
            out.flush();
        }
    }

    private Hello hello(byte[] bytes, byte[] secret) throws IOException {
        Frame frame = FrameCodec.decode(bytes, 0, new MacKey(secret));
        if (frame.type() != FrameType.HELLO) {
            throw new FrameException(FrameException.Reason.NO_HELLO);
        }
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(frame.body())) {
            if (unpacker.unpackArrayHeader() != 2) {
                throw new FrameException(FrameException.Reason.MALFORMED);
            }
            Incarnation theirs = new Incarnation(unpacker.unpackLong());
            if (unpacker.unpackBinaryHeader() != NONCE_BYTES) {
                throw new FrameException(FrameException.Reason.MALFORMED);
            }
            return new Hello(new ProcessName(frame.sender(), theirs), unpacker.readPayload(NONCE_BYTES));
        } catch (MessagePackException | IllegalArgumentException e) {
            throw new FrameException(FrameException.Reason.MALFORMED);
        }
    }

    private byte[] nonce() {
        byte[] nonce = new byte[NONCE_BYTES];
        random.nextBytes(nonce);
        return nonce;
    }

    private static byte[] derive(byte[] secret, byte[] callerNonce, byte[] calleeNonce, byte[] direction) {
        return new MacKey(secret).sign(callerNonce, calleeNonce, direction);
    }

    @SuppressWarnings("ArrayRecordComponent")
    private record Hello(ProcessName sender, byte[] nonce) {}

    /** The result of a handshake: the process of the peer, and one key per direction. */
    record Session(ProcessName peer, MacKey readKey, MacKey writeKey) {}
}
