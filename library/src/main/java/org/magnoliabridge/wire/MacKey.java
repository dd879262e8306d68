package org.magnoliabridge.wire;

import java.security.InvalidKeyException;
import java.security.NoSuchAlgorithmException;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/** An HMAC-SHA256 key; not thread-safe. */
final class MacKey {
    static final int BYTES = 32;
    private static final String ALGORITHM = "HmacSHA256";

    private final Mac mac;

    MacKey(byte[] key) {
        try {
            mac = Mac.getInstance(ALGORITHM);
            mac.init(new SecretKeySpec(key, ALGORITHM));
        } catch (NoSuchAlgorithmException | InvalidKeyException e) {
            throw new IllegalStateException("cannot initialize " + ALGORITHM + ", required of every Java platform", e);
        }
    }

    byte[] sign(byte[]... parts) {
        for (byte[] part : parts) {
            mac.update(part);
        }
        return mac.doFinal();
    }
}
