package org.magnoliabridge.external;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.io.OutputStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.magnoliabridge.calls.FakeBackEnd;
import org.magnoliabridge.http.HttpCaller;
import org.magnoliabridge.http.HttpLimits;
import org.magnoliabridge.http.UndertowHttpCaller;

class PlatformHttpTest {
    private final HttpCaller caller = new UndertowHttpCaller(1);
    private final FakeBackEnd server = new FakeBackEnd(this::answerAllButTheSecond);
    private final PlatformHttp http = new PlatformHttp(caller, server.address(), HttpLimits.total(10_000));

    PlatformHttpTest() throws IOException {}

    @AfterEach
    void stop() throws IOException {
        caller.close();
        server.close();
    }

    /** Guards against a read that fails because the platform closed an idle connection. */
    @Test
    void readIsSentAgainIfItsReusedConnectionIsClosed() throws PlatformException {
        http.read(http.get("/a"));
        assertThat(http.read(http.get("/a")).status(), is(200));
        assertThat(server.requests("/"), hasSize(3));
    }

    /** Guards against a change that takes effect twice. */
    @Test
    void changeIsNotSentAgain() throws PlatformException {
        http.read(http.get("/a"));
        assertThrows(
                PlatformException.OutcomeUnknown.class,
                () -> http.change(http.send("POST", "/a", PlatformHttp.bytes("b"))));
        assertThat(server.requests("/"), hasSize(2));
    }

    private boolean answerAllButTheSecond(FakeBackEnd.Request request, OutputStream out) throws IOException {
        boolean second = server.requests("/").size() == 2;
        return !second && FakeBackEnd.respond(out, 200, "application/json", "{}");
    }
}
