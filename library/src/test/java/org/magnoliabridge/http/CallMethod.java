package org.magnoliabridge.http;

/** The methods of a caller, each of which takes everything that it receives. */
enum CallMethod {
    CALL {
        @Override
        HttpAnswer run(HttpCaller caller, HttpCall call) throws HttpFailure {
            return caller.call(call);
        }
    },
    STREAM {
        @Override
        HttpAnswer run(HttpCaller caller, HttpCall call) throws HttpFailure {
            return caller.stream(call, line -> true);
        }
    },
    RELAY {
        @Override
        HttpAnswer run(HttpCaller caller, HttpCall call) throws HttpFailure {
            return caller.relay(call, new HttpCaller.PieceReceiver() {
                @Override
                public boolean head(HttpAnswer head) {
                    return true;
                }

                @Override
                public boolean piece(byte[] piece) {
                    return true;
                }
            });
        }
    };

    abstract HttpAnswer run(HttpCaller caller, HttpCall call) throws HttpFailure;
}
