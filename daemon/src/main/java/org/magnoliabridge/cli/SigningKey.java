package org.magnoliabridge.cli;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.FileAlreadyExistsException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.security.InvalidKeyException;
import java.security.KeyPair;
import java.security.PrivateKey;
import java.util.Base64;
import java.util.Optional;
import org.magnoliabridge.bundle.BundleSignature;

/** The operator's private key on disk: base64 of its PKCS #8 form, readable by its owner only. */
final class SigningKey {
    private static final String FIELD = "signing_key";

    private SigningKey() {}

    static PrivateKey read(Optional<Path> file) throws CommandException {
        Path path = file.orElseThrow(
                () -> CommandException.invalid(FIELD, "the settings must name the file of the operator's private key"));
        try {
            return BundleSignature.privateKey(
                    Files.readString(path, StandardCharsets.UTF_8).strip());
        } catch (IOException e) {
            throw CommandException.invalid(FIELD, "can't read " + path);
        } catch (InvalidKeyException e) {
            throw CommandException.invalid(FIELD, path + " holds no Ed25519 private key");
        }
    }

    /** Writes a new private key and returns the base64 of its public key. */
    static String create(Path file) throws CommandException {
        KeyPair pair = BundleSignature.generateKeys();
        String text = Base64.getEncoder().encodeToString(pair.getPrivate().getEncoded());
        try {
            // The permissions are set before the key is in the file.
            Files.createFile(file, PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString("rw-------")));
            Files.writeString(file, text + "\n", StandardCharsets.UTF_8);
        } catch (FileAlreadyExistsException e) {
            throw new CommandException(ExitCode.CONFLICT, file + " exists already");
        } catch (IOException e) {
            throw CommandException.invalid("--out", "can't write " + file);
        }
        return Base64.getEncoder().encodeToString(pair.getPublic().getEncoded());
    }
}
