package org.magnoliabridge.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.magnoliabridge.bundle.Bundle;
import org.magnoliabridge.bundle.BundleJson;
import org.magnoliabridge.bundle.InvalidBundleException;
import org.magnoliabridge.settings.SettingsException;

/** Reads the files that operators name; each invalid field is reported. */
final class Input {
    private Input() {}

    static byte[] bytes(String file) throws CommandException {
        try {
            return Files.readAllBytes(Path.of(file));
        } catch (IOException e) {
            throw CommandException.invalid(
                    file, "can't be read: " + e.getClass().getSimpleName());
        }
    }

    static Bundle bundle(String file) throws CommandException {
        return bundle(file, bytes(file));
    }

    static Bundle bundle(String source, byte[] json) throws CommandException {
        try {
            return BundleJson.read(json);
        } catch (InvalidBundleException e) {
            throw invalid("bundle " + source, e);
        }
    }

    static CommandException invalid(String source, InvalidBundleException e) {
        return new CommandException(
                ExitCode.INVALID_INPUT,
                source + " is invalid",
                e.problems().stream()
                        .map(problem ->
                                new CommandException.Problem(problem.field(), problem.kind() + ": " + problem.detail()))
                        .toList());
    }

    static CommandException invalid(String source, SettingsException e) {
        return new CommandException(
                ExitCode.INVALID_INPUT,
                source + " is invalid",
                e.problems().stream()
                        .map(problem -> new CommandException.Problem(problem.field(), problem.toString()))
                        .toList());
    }

    static void write(Path file, byte[] content) throws CommandException {
        try {
            Files.write(file, content);
        } catch (IOException e) {
            throw CommandException.invalid(file.toString(), "can't be written: " + e.getMessage());
        }
    }
}
