package org.magnoliabridge.bundle;

import java.security.InvalidKeyException;
import java.security.PrivateKey;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import org.magnoliabridge.external.ObjectKey;
import org.magnoliabridge.external.ObjectStore;
import org.magnoliabridge.external.PlatformException;
import org.magnoliabridge.external.StoredObject;
import org.magnoliabridge.ids.BundleVersion;
import org.magnoliabridge.ids.KeyId;
import org.magnoliabridge.ids.TeamId;
import org.magnoliabridge.keys.KeyEntry;
import org.magnoliabridge.keys.TeamKey;
import org.magnoliabridge.settings.SettingsException.Kind;

/**
 * Changes bundles and withdrawals for operators; calls block on the object API.
 *
 * <p>Of concurrent changes one succeeds and the others fail with {@link BundleConflictException}. A process that
 * crashes before it updated the head leaves an object that no head names; it is never applied, and its version is not
 * reused.
 *
 * <pre>{@code
 * BundleStore.Draft draft = store.create(edited);
 * store.roll(draft, store.sign(draft, privateKey));
 * }</pre>
 */
public final class BundleStore {
    private static final int MAX_ATTEMPTS = 8;
    private static final int TOKEN_BYTES = 16;
    // Below the 1 MiB limit of a frame between nodes, with room for its other fields.
    private static final int MAX_BUNDLE_BYTES = 1_000_000;

    private final ObjectStore objects;
    private final SecureRandom random;

    public BundleStore(ObjectStore objects, SecureRandom random) {
        this.objects = objects;
        this.random = random;
    }

    /** Returns the accepted bundle, or empty if there is none yet. */
    public Optional<Bundle> current() throws PlatformException, UnacceptableBundleException, InvalidBundleException {
        Optional<StoredObject> head = objects.read(BundleHead.KEY);
        return head.isEmpty()
                ? Optional.empty()
                : Optional.of(content(BundleHead.read(head.get().value())));
    }

    /** Returns the withdrawals. */
    public Withdrawals withdrawals() throws PlatformException, UnacceptableBundleException {
        Optional<StoredObject> object = objects.read(Withdrawals.KEY);
        return object.isEmpty()
                ? Withdrawals.NONE
                : Withdrawals.read(object.get().value());
    }

    /**
     * Checks an edited bundle and gives it the next version.
     *
     * @param edited its version is that of the bundle it was made from, or any for the first bundle
     * @throws BundleConflictException if another bundle has been accepted since
     */
    public Draft create(Bundle edited)
            throws PlatformException, UnacceptableBundleException, InvalidBundleException, BundleConflictException {
        Optional<StoredObject> object = objects.read(BundleHead.KEY);
        long base = ObjectStore.ABSENT;
        List<String> writers = List.of();
        if (object.isPresent()) {
            BundleHead head = BundleHead.read(object.get().value());
            base = object.get().version();
            writers = head.writers();
            if (!head.version().equals(edited.version())) {
                throw new BundleConflictException(
                        "based on version " + edited.version() + ", but version " + head.version() + " is accepted");
            }
        }
        Bundle next = edited.withVersion(nextVersion());
        BundleValidation.check(next);
        int bytes = BundleJson.write(next).length;
        if (bytes > MAX_BUNDLE_BYTES) {
            String detail = bytes + " bytes, expected at most " + MAX_BUNDLE_BYTES;
            throw new InvalidBundleException(List.of(new BundleProblem(Kind.OUT_OF_RANGE, "", detail)));
        }
        return new Draft(next, base, writers);
    }

    /** Signs a draft. */
    public SignedBundle sign(Draft draft, PrivateKey key) throws InvalidKeyException {
        return BundleSignature.sign(draft.bundle(), key);
    }

    /**
     * Makes the bundle the accepted one.
     *
     * @throws BundleConflictException if another bundle was accepted since the draft was made
     * @throws PlatformException.OutcomeUnknown if the platform gave no answer; {@link #current} shows the outcome later
     */
    public void roll(Draft draft, SignedBundle signed) throws PlatformException, BundleConflictException {
        ObjectKey key = BundleHead.contentKey(signed.version());
        if (!writeAndConfirm(key, ObjectStore.ABSENT, signed.content(), v -> Arrays.equals(v, signed.content()))) {
            throw new BundleConflictException("version " + signed.version() + " exists with other content");
        }
        String token = token();
        byte[] head = new BundleHead(
                        signed.version(),
                        signed.digest(),
                        signed.signature(),
                        BundleHead.appendWriter(draft.writers(), token))
                .write();
        if (!writeAndConfirm(
                BundleHead.KEY, draft.baseVersion(), head, v -> writers(v).contains(token))) {
            throw new BundleConflictException("another bundle was accepted before version " + signed.version());
        }
    }

    /**
     * Adds a new key of a team to the accepted bundle.
     *
     * @throws BundleConflictException if the id exists or was withdrawn, or if changes by others won every attempt
     */
    public TeamKey issueKey(TeamId team, KeyId id, PrivateKey signer)
            throws PlatformException, UnacceptableBundleException, InvalidBundleException, BundleConflictException,
                    InvalidKeyException {
        TeamKey key = TeamKey.generate(id, random);
        for (int attempt = 1; ; attempt++) {
            Bundle bundle = current().orElseThrow(() -> new BundleConflictException("no bundle has been accepted yet"));
            if (bundle.keys().stream().anyMatch(k -> k.id().equals(id))
                    || withdrawals().keys().contains(id)) {
                throw new BundleConflictException("key id " + id + " exists or was withdrawn");
            }
            List<KeyEntry> keys = new ArrayList<>(bundle.keys());
            keys.add(key.entry(team));
            try {
                Draft draft = create(bundle.withKeys(keys));
                roll(draft, sign(draft, signer));
                return key;
            } catch (BundleConflictException e) {
                if (attempt == MAX_ATTEMPTS) {
                    throw e;
                }
            }
        }
    }

    /**
     * Withdraws a key for good; a repeat is harmless.
     *
     * @return the withdrawals in which the key is
     * @throws BundleConflictException if changes by other operators won every attempt
     */
    public Withdrawals withdrawKey(KeyId id)
            throws PlatformException, UnacceptableBundleException, BundleConflictException {
        for (int attempt = 1; attempt <= MAX_ATTEMPTS; attempt++) {
            Optional<StoredObject> object = objects.read(Withdrawals.KEY);
            Withdrawals before = object.isEmpty()
                    ? Withdrawals.NONE
                    : Withdrawals.read(object.get().value());
            if (before.keys().contains(id)) {
                return before;
            }
            Withdrawals next = before.with(id);
            long base = object.map(StoredObject::version).orElse(ObjectStore.ABSENT);
            if (writeAndConfirm(
                    Withdrawals.KEY,
                    base,
                    next.write(),
                    v -> Withdrawals.read(v).keys().contains(id))) {
                return withdrawals();
            }
        }
        throw new BundleConflictException(
                "other operators changed the withdrawals during each of " + MAX_ATTEMPTS + " attempts");
    }

    // After a lost answer the same write is sent again, because the lost one may still take effect: at most one of the
    // two can succeed. On a conflict the object is read back, which shows whether the lost write took effect.
    private boolean writeAndConfirm(ObjectKey key, long base, byte[] value, ValueMatcher isOurs)
            throws PlatformException {
        PlatformException unanswered = null;
        for (int attempt = 1; attempt <= MAX_ATTEMPTS; attempt++) {
            try {
                objects.write(key, base, value);
                return true;
            } catch (PlatformException.VersionConflict e) {
                return readBackMatches(key, isOurs);
            } catch (PlatformException.OutcomeUnknown e) {
                unanswered = e;
            } catch (PlatformException.Unavailable | PlatformException.RateLimited e) {
                if (unanswered == null) {
                    throw e;
                }
            }
        }
        throw unanswered;
    }

    private boolean readBackMatches(ObjectKey key, ValueMatcher isOurs) throws PlatformException {
        Optional<StoredObject> object = objects.read(key);
        try {
            return object.isPresent() && isOurs.test(object.get().value());
        } catch (UnacceptableBundleException e) {
            return false;
        }
    }

    private BundleVersion nextVersion() throws PlatformException {
        long highest = 0;
        for (ObjectStore.Entry entry : objects.list(BundleHead.PREFIX).entries()) {
            String name = entry.key().value().substring(BundleHead.PREFIX.length());
            if (name.matches("[0-9]{1,18}")) {
                highest = Math.max(highest, Long.parseLong(name));
            }
        }
        return new BundleVersion(highest + 1);
    }

    private Bundle content(BundleHead head)
            throws PlatformException, UnacceptableBundleException, InvalidBundleException {
        Optional<StoredObject> object = objects.read(BundleHead.contentKey(head.version()));
        byte[] value = object.map(StoredObject::value).orElse(new byte[0]);
        if (!new SignedBundle(head.version(), value, head.signature()).digest().equals(head.digest())) {
            throw new UnacceptableBundleException(UnacceptableBundleException.Reason.WRONG_CONTENT);
        }
        return BundleJson.read(value);
    }

    private static List<String> writers(byte[] value) throws UnacceptableBundleException {
        return BundleHead.read(value).writers();
    }

    private String token() {
        byte[] bytes = new byte[TOKEN_BYTES];
        random.nextBytes(bytes);
        return HexFormat.of().formatHex(bytes);
    }

    /**
     * A checked bundle that is not yet accepted.
     *
     * @param baseVersion version of the head object it is to replace
     * @param writers the tokens in that head
     */
    public record Draft(Bundle bundle, long baseVersion, List<String> writers) {
        public Draft {
            writers = List.copyOf(writers);
        }
    }

    /** Tests whether a value is the one that this process wrote, or was made from it. */
    @FunctionalInterface
    private interface ValueMatcher {
        boolean test(byte[] value) throws UnacceptableBundleException;
    }
}
