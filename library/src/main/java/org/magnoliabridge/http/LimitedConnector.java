package org.magnoliabridge.http;

import java.net.SocketAddress;
import java.util.concurrent.TimeUnit;
import org.xnio.ChannelListener;
import org.xnio.IoFuture;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;

/**
 * Opens one connection on an I/O thread and adds a {@link FramingLimit} and an {@link AnswerConduit} below Undertow's
 * client, which offers no access to the connection. Never started as a thread.
 */
final class LimitedConnector extends XnioIoThread {
    private final XnioIoThread thread;
    private volatile StreamConnection stream;
    private volatile FramingLimit limit;
    private volatile AnswerConduit answers;

    LimitedConnector(XnioIoThread thread) {
        super(thread.getWorker(), thread.getNumber());
        this.thread = thread;
    }

    /** Returns the connection below Undertow's client, which must be open. */
    StreamConnection stream() {
        return stream;
    }

    /** Returns the limit of the connection, which must be open. */
    FramingLimit limit() {
        return limit;
    }

    /** Returns the check of the connection's answers; the connection must be open. */
    AnswerConduit answers() {
        return answers;
    }

    @Override
    public IoFuture<StreamConnection> openStreamConnection(
            SocketAddress target, ChannelListener<? super StreamConnection> listener, OptionMap options) {
        ChannelListener<StreamConnection> limited = connection -> {
            stream = connection;
            limit = FramingLimit.addTo(connection.getSourceChannel());
            answers = AnswerConduit.addTo(connection.getSourceChannel());
            listener.handleEvent(connection);
        };
        return thread.openStreamConnection(target, limited, options);
    }

    @Override
    public void execute(Runnable task) {
        thread.execute(task);
    }

    @Override
    public Key executeAfter(Runnable task, long time, TimeUnit unit) {
        return thread.executeAfter(task, time, unit);
    }

    @Override
    public Key executeAtInterval(Runnable task, long time, TimeUnit unit) {
        return thread.executeAtInterval(task, time, unit);
    }
}
