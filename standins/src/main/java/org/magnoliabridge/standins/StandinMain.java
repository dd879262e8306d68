package org.magnoliabridge.standins;

import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.logging.Level;
import java.util.logging.Logger;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/**
 * Runs one stand-in as a process until it is ended.
 *
 * <p>It prints one line, {@code listening <ip>:<port>}, when it is ready:
 *
 * <pre>{@code
 * standin engine --port 0 --decode-rate 50
 * }</pre>
 */
public final class StandinMain {
    private static final int USAGE_ERROR = 2;

    // Kept in a field, because loggers that nobody holds may lose their level.
    private static final List<Logger> LIBRARIES =
            List.of(Logger.getLogger("org.xnio"), Logger.getLogger("io.undertow"));

    private StandinMain() {}

    /** Starts the stand-in that the arguments name. */
    public static void main(String[] args) throws UnknownHostException, InterruptedException {
        ArgumentParser parser = parser();
        Namespace options;
        try {
            options = parser.parseArgs(args);
        } catch (ArgumentParserException e) {
            parser.handleError(e);
            System.exit(USAGE_ERROR);
            return;
        }
        LIBRARIES.forEach(logger -> logger.setLevel(Level.WARNING));
        StandIn standIn = start(options);
        PrintStream out = new PrintStream(System.out, true, StandardCharsets.UTF_8);
        out.println("listening " + standIn.address().getAddress().getHostAddress() + ":"
                + standIn.address().getPort());
        Runtime.getRuntime().addShutdownHook(Thread.ofPlatform().unstarted(standIn::close));
        new CountDownLatch(1).await();
    }

    static ArgumentParser parser() {
        ArgumentParser parser = ArgumentParsers.newFor("standin").build().description("Runs a stand-in.");
        Subparsers names = parser.addSubparsers().dest("name").title("stand-ins");
        Subparser objects = name(names, "object-api");
        number(objects, "--delay-ms", 0);
        number(objects, "--kept-events", 10_000);
        Subparser orders = name(names, "orders");
        orders.addArgument("--instances").required(true).help("ip:port of the instance list");
        orders.addArgument("--ignore-fencing").action(Arguments.storeTrue());
        orders.addArgument("--slot")
                .action(Arguments.append())
                .help("service,dc,kind,ip:port[,id of the endpoint that runs there from the start]");
        number(orders, "--start-ms", 2_000);
        number(orders, "--stop-ms", 2_000);
        name(names, "usage");
        number(name(names, "instances"), "--lag-ms", 1_000);
        Subparser weights = name(names, "weights");
        weights.addArgument("--loads-per-second").type(Double.class).setDefault(2.0);
        number(weights, "--burst", 2);
        number(name(names, "scoring"), "--delay-ms", 5);
        Subparser engine = name(names, "engine");
        ModelEngine.Settings defaults = ModelEngine.Settings.defaults();
        number(engine, "--weight-version", defaults.version());
        number(engine, "--prefill-rate", defaults.prefillTokensPerSecond());
        number(engine, "--decode-rate", defaults.decodeTokensPerSecond());
        number(engine, "--batch-limit", defaults.batchLimit());
        number(engine, "--cache-blocks", defaults.cacheBlocks());
        number(engine, "--mean-tokens", defaults.meanTokens());
        number(engine, "--report-lag-ms", defaults.reportLagMs());
        number(engine, "--swap-ms", defaults.swapMs());
        engine.addArgument("--ignore-fencing").action(Arguments.storeTrue());
        Subparser bookings = name(names, "bookings");
        number(bookings, "--delay-ms", 5);
        bookings.addArgument("--outcome-lookup").action(Arguments.storeTrue());
        return parser;
    }

    static StandIn start(Namespace options) throws UnknownHostException {
        InetSocketAddress listen = new InetSocketAddress(
                InetAddress.getByName(options.getString("address")), (int) number(options, "port"));
        return switch (options.getString("name")) {
            case "object-api" ->
                new ObjectApi(listen, new ObjectApi.Settings(number(options, "delay_ms"), (int)
                        number(options, "kept_events")));
            case "orders" -> orders(listen, options);
            case "usage" -> new UsageInterface(listen);
            case "instances" -> new InstanceList(listen, number(options, "lag_ms"));
            case "weights" ->
                new WeightStore(listen, new WeightStore.Settings(options.getDouble("loads_per_second"), (int)
                        number(options, "burst")));
            case "scoring" -> new ScoringService(listen, number(options, "delay_ms"));
            case "engine" -> engine(listen, options);
            case "bookings" ->
                new BookingService(
                        listen,
                        new BookingService.Settings(number(options, "delay_ms"), options.getBoolean("outcome_lookup")));
            default -> throw new IllegalArgumentException("unknown stand-in " + options.getString("name"));
        };
    }

    private static StandIn orders(InetSocketAddress listen, Namespace options) throws UnknownHostException {
        List<String> slots = options.getList("slot");
        String[] list = options.getString("instances").split(":", 2);
        if (list.length != 2) {
            throw new IllegalArgumentException("--instances must be ip:port");
        }
        return new OrderInterface(
                listen,
                new InetSocketAddress(InetAddress.getByName(list[0]), Integer.parseInt(list[1])),
                new OrderInterface.Settings(
                        !options.getBoolean("ignore_fencing"),
                        number(options, "start_ms"),
                        number(options, "stop_ms"),
                        slots == null
                                ? List.of()
                                : slots.stream().map(OrderInterface.Slot::parse).toList()));
    }

    private static StandIn engine(InetSocketAddress listen, Namespace options) {
        return new ModelEngine(
                listen,
                new ModelEngine.Settings(
                        number(options, "weight_version"),
                        (int) number(options, "prefill_rate"),
                        (int) number(options, "decode_rate"),
                        (int) number(options, "batch_limit"),
                        (int) number(options, "cache_blocks"),
                        (int) number(options, "mean_tokens"),
                        number(options, "report_lag_ms"),
                        number(options, "swap_ms"),
                        !options.getBoolean("ignore_fencing")));
    }

    private static Subparser name(Subparsers names, String name) {
        Subparser parser = names.addParser(name);
        parser.addArgument("--address").setDefault("127.0.0.1").help("loopback address to listen on");
        number(parser, "--port", 0);
        return parser;
    }

    private static void number(Subparser parser, String option, long absent) {
        parser.addArgument(option).type(Long.class).setDefault(absent);
    }

    private static long number(Namespace options, String name) {
        return options.getLong(name);
    }
}
