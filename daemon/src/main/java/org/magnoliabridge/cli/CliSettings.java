package org.magnoliabridge.cli;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.magnoliabridge.settings.SettingsException;
import org.magnoliabridge.settings.SettingsObject;
import org.magnoliabridge.settings.SocketAddresses;

/**
 * The checked settings of the command line, JSON with comments.
 *
 * @param objectApi the platform's object API
 * @param operators operator addresses of nodes, asked in turn until one answers
 * @param signingKey PEM file of the operator's Ed25519 private key
 * @param timeoutMs limit of one call
 * @param confirmMs how long {@code key withdraw} and {@code bundle roll} wait for every live member
 */
record CliSettings(
        InetSocketAddress objectApi,
        List<InetSocketAddress> operators,
        Optional<Path> signingKey,
        long timeoutMs,
        long confirmMs) {
    private static final InetSocketAddress UNSET = new InetSocketAddress(0);

    static CliSettings read(Path file) throws CommandException {
        try {
            return parse(Files.readAllBytes(file));
        } catch (IOException e) {
            throw CommandException.invalid("--config", "can't read " + file + ": " + e.getMessage());
        } catch (SettingsException e) {
            throw Input.invalid("settings file " + file, e);
        }
    }

    private static CliSettings parse(byte[] text) throws SettingsException {
        SettingsObject root = SettingsObject.parse(text);
        InetSocketAddress objects = root.address("object_api").orElse(UNSET);
        List<InetSocketAddress> operators = new ArrayList<>();
        List<String> texts = root.texts("operators");
        for (int i = 0; i < texts.size(); i++) {
            root.parsed("operators[" + i + "]", texts.get(i), "an IP address and port", SocketAddresses::parse)
                    .ifPresent(operators::add);
        }
        CliSettings settings = new CliSettings(
                objects,
                List.copyOf(operators),
                root.optionalText("signing_key").map(Path::of),
                root.integer("timeout_ms", 50, 60_000, 3_000),
                root.integer("confirm_ms", 0, 600_000, 15_000));
        root.finish();
        return settings;
    }
}
