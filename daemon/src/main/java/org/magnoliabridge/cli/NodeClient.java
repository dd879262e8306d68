package org.magnoliabridge.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.magnoliabridge.http.HttpAnswer;
import org.magnoliabridge.http.HttpCall;
import org.magnoliabridge.http.HttpCaller;
import org.magnoliabridge.http.HttpFailure;
import org.magnoliabridge.http.HttpLimits;
import org.magnoliabridge.settings.SocketAddresses;

/** Asks nodes over their operator address. */
final class NodeClient {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int OK = 200;
    private static final String STATUS = "/admin/status";

    private final HttpCaller http;
    private final List<InetSocketAddress> operators;
    private final HttpLimits limits;

    NodeClient(HttpCaller http, CliSettings settings) {
        this.http = http;
        operators = settings.operators();
        limits = HttpLimits.total(settings.timeoutMs());
    }

    /** What one node answered; empty if it did not. */
    record Reply(InetSocketAddress node, Optional<JsonNode> body) {
        String address() {
            return SocketAddresses.format(node);
        }
    }

    /** Asks every configured node for its status. */
    List<Reply> askAll() throws CommandException {
        if (operators.isEmpty()) {
            throw CommandException.invalid("operators", "at least one node's operator address is needed");
        }
        List<Reply> replies = new ArrayList<>();
        for (InetSocketAddress node : operators) {
            replies.add(new Reply(node, ask(node, STATUS)));
        }
        return replies;
    }

    /** Asks the configured nodes in turn for a page until one answers. */
    JsonNode askAny(String page) throws CommandException {
        for (InetSocketAddress node : operators) {
            Optional<JsonNode> answer = ask(node, page);
            if (answer.isPresent()) {
                return answer.get();
            }
        }
        throw new CommandException(
                ExitCode.UNAVAILABLE, "none of the " + operators.size() + " configured nodes answers");
    }

    private Optional<JsonNode> ask(InetSocketAddress node, String page) {
        try {
            HttpAnswer answer = http.call(HttpCall.get(node, page).withLimits(limits));
            return answer.status() == OK ? Optional.ofNullable(JSON.readTree(answer.body())) : Optional.empty();
        } catch (HttpFailure | IOException e) {
            return Optional.empty();
        }
    }
}
