package org.magnoliabridge.core;

import java.lang.reflect.Proxy;
import java.util.Objects;

/**
 * Runs an action when the process gets SIGHUP, which would end it otherwise.
 *
 * <p>The runtime has no supported interface for signals; its {@code sun.misc.Signal} is used by reflection, because the
 * compiler warns of every direct use.
 */
public final class HangupSignal {
    private static final String NAME = "HUP";

    private HangupSignal() {}

    /** Thrown when the runtime lets nobody handle the signal. */
    public static final class UnsupportedSignalException extends Exception {
        UnsupportedSignalException(Throwable cause) {
            super("the runtime offers no way to handle SIG" + NAME, cause);
        }
    }

    /** Replaces the handler of the signal; the action runs on a thread of its own for each signal. */
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
