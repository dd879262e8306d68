package org.magnoliabridge.wire;

import java.security.InvalidKeyException;
import java.security.NoSuchAlgorithmException;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/** A key for HMAC-SHA256; for one thread. */
final class MacKey {
    static final int BYTES = 32;
    private static final String ALGORITHM = "HmacSHA256";

    private final Mac mac;

    MacKey(byte[] key) {
        try {
            mac = Mac.getInstance(ALGORITHM);
            mac.init(new SecretKeySpec(key, ALGORITHM));
        } catch (NoSuchAlgorithmException | InvalidKeyException e) {
            throw new IllegalStateException("every Java platform has " + ALGORITHM, e);
        }
    }

    byte[] sign(byte[]... parts) {
        for (byte[] part : parts) {
            mac.update(part);
        }
        return mac.doFinal();
    }
}
