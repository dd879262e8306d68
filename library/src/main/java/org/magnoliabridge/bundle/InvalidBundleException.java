package org.magnoliabridge.bundle;

import java.util.List;
import java.util.stream.Collectors;

/** Thrown when a bundle cannot be used; names every fault that was found. */
public final class InvalidBundleException extends Exception {
    private final List<BundleProblem> problems;

    InvalidBundleException(List<BundleProblem> problems) {
        super("invalid bundle: "
                + problems.stream().map(BundleProblem::toString).collect(Collectors.joining("; ")));
        this.problems = List.copyOf(problems);
    }

    /** Returns the faults, at least one. */
    public List<BundleProblem> problems() {
        return problems;
    }
}
