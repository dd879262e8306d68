package org.magnoliabridge.edge;

import org.magnoliabridge.memory.Content;

/** The complete body of a request; its memory is claimed until the request has ended, or until it is dropped. */
public final class ReceivedBody {
    private final Runnable dropped;
    private volatile Content content;

    ReceivedBody(Content content, Runnable dropped) {
        this.content = content;
        this.dropped = dropped;
    }

    /** Returns the bytes, or none after the body was dropped. */
    public Content content() {
        return content;
    }

    /** Returns the memory of the body, which nothing needs any more. */
    public void drop() {
        content = Content.EMPTY;
        dropped.run();
    }
}
