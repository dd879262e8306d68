package org.magnoliabridge.wire;

/** Types of the messages between nodes; the package that owns a type encodes and decodes its body. */
public enum FrameType {
    HELLO(1),
    PING(2),
    ACK(3),
    PING_REQUEST(4),
    ITEM_REQUEST(5),
    ITEMS(6),
    USAGE_COUNTS(7),
    USAGE_ACK(8),
    STEP_NUDGE(9),
    LEAVING(10),
    CALL(11),
    ANSWER(12);

    private final int number;

    FrameType(int number) {
        this.number = number;
    }

    /** Returns the number that identifies the type on the wire. */
    public int number() {
        return number;
    }
}
