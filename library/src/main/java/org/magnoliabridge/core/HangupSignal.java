package org.magnoliabridge.core;

import java.lang.reflect.Proxy;
import java.util.Objects;

/**
 * Runs an action when the process receives SIGHUP, which terminates it by default.
 *
 * <p>Java has no supported API for signals. {@code sun.misc.Signal} is called by reflection, because the compiler warns
 * about every direct use.
 */
public final class HangupSignal {
    private static final String NAME = "HUP";

    private HangupSignal() {}

    /** Thrown when the Java runtime does not support handling the signal. */
    public static final class UnsupportedSignalException extends Exception {
        UnsupportedSignalException(Throwable cause) {
            super("the Java runtime does not support handling SIG" + NAME, cause);
        }
    }

    /** Replaces the signal handler; the action runs on a new thread for each signal received. */
    public static void handle(Runnable action) throws UnsupportedSignalException {
        Objects.requireNonNull(action);
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object proxy = Proxy.newProxyInstance(
                    HangupSignal.class.getClassLoader(), new Class<?>[] {handler}, (self, method, arguments) -> {
                        if (method.getDeclaringClass() == Object.class) {
                            return method.invoke(action, arguments);
                        }
                        action.run();
                        return null;
                    });
            signal.getMethod("handle", signal, handler)
                    .invoke(null, signal.getConstructor(String.class).newInstance(NAME), proxy);
        } catch (ReflectiveOperationException e) {
            throw new UnsupportedSignalException(e);
        }
    }
}
