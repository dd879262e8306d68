package org.magnoliabridge.rollout;

/** Thrown when a step, its head or a group body can't be parsed. */
public final class MalformedStepException extends Exception {
    MalformedStepException(String message, Throwable cause) {
        super(message, cause);
    }
}
