package org.magnoliabridge.ids;

import java.util.Objects;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Names one start of a node; no other process of any node has the same name. */
public record ProcessName(NodeId node, Incarnation incarnation) {
    private static final Pattern FORM = Pattern.compile("(.+)-(\\d{1,18})");

    public ProcessName {
        Objects.requireNonNull(node);
        Objects.requireNonNull(incarnation);
    }

    /** Returns the name that a text stands for, or empty if it is not the name of a process. */
    public static Optional<ProcessName> parse(String text) {
        Matcher matcher = FORM.matcher(text);
        if (!matcher.matches()) {
            return Optional.empty();
        }
        try {
            NodeId node = NodeId.parse(matcher.group(1));
            return Optional.of(new ProcessName(node, new Incarnation(Long.parseLong(matcher.group(2)))));
        } catch (InvalidIdException e) {
            return Optional.empty();
        }
    }

    /** Returns whether this process has ended, given a later start of its node. */
    public boolean isBefore(ProcessName other) {
        return node.equals(other.node) && other.incarnation.isAfter(incarnation);
    }

    @Override
    public String toString() {
        return node + "-" + incarnation;
    }
}
