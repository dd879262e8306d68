package org.magnoliabridge.bundle;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.InvalidKeyException;
import java.security.KeyFactory;
import java.security.KeyPair;
import java.security.KeyPairGenerator;
import java.security.NoSuchAlgorithmException;
import java.security.PrivateKey;
import java.security.PublicKey;
import java.security.Signature;
import java.security.SignatureException;
import java.security.spec.PKCS8EncodedKeySpec;
import java.security.spec.X509EncodedKeySpec;
import java.util.Base64;
import java.util.List;
import org.magnoliabridge.ids.BundleVersion;

/** Signs and checks bundles with Ed25519; the signature covers the version and the SHA-256 of the content. */
public final class BundleSignature {
    private static final String ALGORITHM = "Ed25519";

    private BundleSignature() {}

    /** Returns a new pair of keys for operators. */
    public static KeyPair generateKeys() {
        try {
            return KeyPairGenerator.getInstance(ALGORITHM).generateKeyPair();
        } catch (NoSuchAlgorithmException e) {
            throw missing(e);
        }
    }

    /** Reads a public key from the base64 of its X.509 form, as {@code getEncoded} gives it. */
    public static PublicKey publicKey(String base64) throws InvalidKeyException {
        try {
            X509EncodedKeySpec spec = new X509EncodedKeySpec(Base64.getDecoder().decode(base64));
            return KeyFactory.getInstance(ALGORITHM).generatePublic(spec);
        } catch (GeneralSecurityException | IllegalArgumentException e) {
            throw new InvalidKeyException("not an Ed25519 public key", e);
        }
    }

    /** Reads a private key from the base64 of its PKCS #8 form, as {@code getEncoded} gives it. */
    public static PrivateKey privateKey(String base64) throws InvalidKeyException {
        try {
            PKCS8EncodedKeySpec spec =
                    new PKCS8EncodedKeySpec(Base64.getDecoder().decode(base64));
            return KeyFactory.getInstance(ALGORITHM).generatePrivate(spec);
        } catch (GeneralSecurityException | IllegalArgumentException e) {
            // The cause could quote the key, so it is left out.
            throw new InvalidKeyException("not an Ed25519 private key");
        }
    }

    /** Returns the signed bundle. */
    public static SignedBundle sign(Bundle bundle, PrivateKey key) throws InvalidKeyException {
        byte[] content = BundleJson.write(bundle);
        SignedBundle unsigned = new SignedBundle(bundle.version(), content, new byte[0]);
        try {
            Signature signature = Signature.getInstance(ALGORITHM);
            signature.initSign(key);
            signature.update(message(bundle.version(), unsigned.digest()));
            return new SignedBundle(bundle.version(), content, signature.sign());
        } catch (NoSuchAlgorithmException e) {
            throw missing(e);
        } catch (SignatureException e) {
            throw new InvalidKeyException("the key cannot sign with " + ALGORITHM, e);
        }
    }

    /** Returns whether any of the keys signed this version and digest. */
    public static boolean verify(List<PublicKey> keys, BundleVersion version, String digest, byte[] signature) {
        return keys.stream().anyMatch(key -> verify(key, message(version, digest), signature));
    }

    private static boolean verify(PublicKey key, byte[] message, byte[] bytes) {
        try {
            Signature signature = Signature.getInstance(ALGORITHM);
            signature.initVerify(key);
            signature.update(message);
            return signature.verify(bytes);
        } catch (NoSuchAlgorithmException e) {
            throw missing(e);
        } catch (InvalidKeyException | SignatureException e) {
            return false;
        }
    }

    // The first line ensures that a signature of another kind of message is not valid for a bundle.
    private static byte[] message(BundleVersion version, String digest) {
        return ("magnoliabridge bundle\n" + version + "\n" + digest + "\n").getBytes(StandardCharsets.US_ASCII);
    }

    private static IllegalStateException missing(NoSuchAlgorithmException e) {
        return new IllegalStateException("the Java platform has no " + ALGORITHM, e);
    }
}
