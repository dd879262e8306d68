package org.magnoliabridge.cli;

import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Argument;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/** The arguments of the command line. */
final class CliArguments {
    static final String DEFAULT_CONFIG = "magnoliabridge.json";

    private CliArguments() {}

    static ArgumentParser parser() {
        ArgumentParser parser = ArgumentParsers.newFor("magnoliabridge")
                .build()
                .description("Runs nodes of the rollout service and operates them.")
                .epilog("Exit codes: 0 ok, 1 unexpected, 2 usage, 3 invalid input, 4 conflict, "
                        + "5 platform unavailable, 6 pending.");
        Subparsers groups = parser.addSubparsers().title("commands").metavar("COMMAND");
        Subparser node = command(groups, "node", "node", "run a node until a signal ends it");
        node.addArgument("--settings").required(true).help("settings file of the node, JSON with comments");
        bundle(groups);
        key(groups);
        platform(command(groups, "status", "status", "show what the configured nodes report"));
        platform(command(groups, "endpoints", "endpoints", "show the endpoints as one node sees them"));
        Subparser usage = platform(command(groups, "usage", "usage", "show sealed usage windows"));
        usage.addArgument("--window").help("only this window");
        return parser;
    }

    private static void bundle(Subparsers groups) {
        Subparsers commands =
                groups.addParser("bundle").help("change the configuration").addSubparsers();
        Subparser create = platform(command(commands, "create", "bundle create", "make a draft from an edited bundle"));
        file(create, "edited copy of the accepted bundle");
        out(create, "where to write the draft").required(true);
        file(command(commands, "validate", "bundle validate", "check a bundle file"), "bundle file");
        Subparser diff = platform(command(commands, "diff", "bundle diff", "list what a bundle file changes"));
        file(diff, "bundle file");
        diff.addArgument("--before").help("bundle file to compare with, instead of the accepted bundle");
        Subparser sign = platform(command(commands, "sign", "bundle sign", "sign a draft"));
        file(sign, "draft file");
        out(sign, "where to write the signed draft").required(true);
        file(platform(command(commands, "roll", "bundle roll", "make a signed draft the accepted bundle")), "draft");
        out(
                platform(command(commands, "status", "bundle status", "show the accepted bundle")),
                "where to write the accepted bundle for editing");
        out(command(commands, "keypair", "bundle keypair", "create a signing key"), "where to write the private key")
                .required(true);
    }

    private static void key(Subparsers groups) {
        Subparsers commands =
                groups.addParser("key").help("issue and withdraw keys").addSubparsers();
        Subparser issue = platform(command(commands, "issue", "key issue", "issue a key and show it once"));
        issue.addArgument("--team").required(true).help("the team that the key belongs to");
        issue.addArgument("--id").help("id of the key, chosen at random if absent");
        Subparser withdraw = platform(command(commands, "withdraw", "key withdraw", "withdraw a key for good"));
        withdraw.addArgument("id").help("id of the key");
    }

    private static Subparser command(Subparsers parent, String name, String command, String help) {
        Subparser parser = parent.addParser(name).help(help).description(help);
        parser.setDefault("command", command);
        parser.addArgument("--json").action(Arguments.storeTrue()).help("print one line of JSON");
        return parser;
    }

    private static Subparser platform(Subparser parser) {
        parser.addArgument("--config")
                .setDefault(DEFAULT_CONFIG)
                .help("settings file of the command line, JSON with comments (default " + DEFAULT_CONFIG + ")");
        return parser;
    }

    private static void file(Subparser parser, String help) {
        parser.addArgument("file").metavar("FILE").help(help);
    }

    private static Argument out(Subparser parser, String help) {
        return parser.addArgument("--out").metavar("FILE").help(help);
    }
}
