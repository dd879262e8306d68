package org.magnoliabridge.cli;

import java.io.PrintStream;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.security.InvalidKeyException;
import java.security.SecureRandom;
import java.util.List;
import java.util.Optional;
import java.util.logging.Level;
import java.util.logging.Logger;
import net.sourceforge.argparse4j.helper.HelpScreenException;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import org.magnoliabridge.bundle.BundleConflictException;
import org.magnoliabridge.bundle.BundleStore;
import org.magnoliabridge.bundle.InvalidBundleException;
import org.magnoliabridge.bundle.UnacceptableBundleException;
import org.magnoliabridge.external.HttpObjectStore;
import org.magnoliabridge.external.ObjectStore;
import org.magnoliabridge.external.PlatformException;
import org.magnoliabridge.http.HttpCaller;
import org.magnoliabridge.http.HttpLimits;
import org.magnoliabridge.http.UndertowHttpCaller;

/**
 * The command line of operators.
 *
 * <pre>{@code
 * int code = new Cli(System.out, System.err, NodeMain::run).run("bundle", "validate", "bundle.json");
 * }</pre>
 */
public final class Cli {
    private static final Logger LOG = Logger.getLogger(Cli.class.getName());

    private final PrintStream out;
    private final PrintStream err;
    private final NodeStarter nodeStarter;

    /** Creates a command line on the platform that the settings name. */
    public Cli(PrintStream out, PrintStream err, NodeStarter nodeStarter) {
        this.out = out;
        this.err = err;
        this.nodeStarter = nodeStarter;
    }

    /** Runs one command and returns the exit code of the process. */
    public int run(String... args) {
        boolean json = List.of(args).contains("--json");
        Output output = new Output(out, err, json);
        ArgumentParser parser = CliArguments.parser();
        try {
            Namespace options = parser.parseArgs(args);
            String command = options.getString("command");
            return command.equals("node")
                    ? nodeStarter.run(Path.of(options.getString("settings")))
                    : output.result(run(command, options));
        } catch (HelpScreenException e) {
            return ExitCode.OK.code();
        } catch (ArgumentParserException e) {
            if (!json) {
                e.getParser().printUsage(new PrintWriter(err, true, err.charset()));
            }
            return output.failure(new CommandException(ExitCode.USAGE, e.getMessage()));
        } catch (CommandException e) {
            return output.failure(e);
        } catch (Exception e) {
            return output.failure(failure(e));
        }
    }

    private static Result run(String command, Namespace options)
            throws CommandException, PlatformException, UnacceptableBundleException, InvalidBundleException,
                    BundleConflictException, InvalidKeyException {
        return switch (command) {
            case "bundle validate" -> BundleCommands.validate(options.getString("file"));
            case "bundle keypair" -> BundleCommands.keypair(options.getString("out"));
            default -> {
                try (HttpCaller http = new UndertowHttpCaller(1)) {
                    yield runOnPlatform(command, options, http);
                }
            }
        };
    }

    private static Result runOnPlatform(String command, Namespace options, HttpCaller http)
            throws CommandException, PlatformException, UnacceptableBundleException, InvalidBundleException,
                    BundleConflictException, InvalidKeyException {
        CliSettings settings = CliSettings.read(Path.of(options.getString("config")));
        ObjectStore objects = new HttpObjectStore(http, settings.objectApi(), HttpLimits.total(settings.timeoutMs()));
        SecureRandom random = new SecureRandom();
        BundleStore store = new BundleStore(objects, random);
        NodeClient nodes = new NodeClient(http, settings);
        BundleCommands bundles = new BundleCommands(settings, store, nodes);
        KeyCommands keys = new KeyCommands(settings, store, nodes, random);
        StatusCommands status = new StatusCommands(nodes, objects);
        return switch (command) {
            case "bundle create" -> bundles.create(options.getString("file"), options.getString("out"));
            case "bundle diff" ->
                bundles.diff(options.getString("file"), Optional.ofNullable(options.getString("before")));
            case "bundle sign" -> bundles.sign(options.getString("file"), options.getString("out"));
            case "bundle roll" -> bundles.roll(options.getString("file"));
            case "bundle status" -> bundles.status(Optional.ofNullable(options.getString("out")));
            case "key issue" -> keys.issue(options.getString("team"), Optional.ofNullable(options.getString("id")));
            case "key withdraw" -> keys.withdraw(options.getString("id"));
            case "status" -> status.status();
            case "endpoints" -> status.endpoints();
            case "usage" -> status.usage(Optional.ofNullable(options.getString("window")));
            default -> throw new IllegalStateException("no such command: " + command);
        };
    }

    private static CommandException failure(Exception failure) {
        return switch (failure) {
            case BundleConflictException e -> new CommandException(ExitCode.CONFLICT, e.getMessage());
            case InvalidBundleException e -> Input.invalid("the bundle", e);
            case InvalidKeyException e -> CommandException.invalid("signing_key", e.getMessage());
            case PlatformException.VersionConflict e -> new CommandException(ExitCode.CONFLICT, e.getMessage());
            case PlatformException.Unavailable e -> unavailable("the platform is unavailable: ", e);
            case PlatformException.RateLimited e -> unavailable("the platform limits this caller: ", e);
            case PlatformException.OutcomeUnknown e ->
                unavailable("the outcome is unknown, check it before a repeat: ", e);
            default -> {
                LOG.log(Level.FINE, "command failed", failure);
                yield new CommandException(ExitCode.UNEXPECTED, "unexpected failure: " + failure);
            }
        };
    }

    private static CommandException unavailable(String text, PlatformException e) {
        return new CommandException(ExitCode.UNAVAILABLE, text + e.getMessage());
    }
}
