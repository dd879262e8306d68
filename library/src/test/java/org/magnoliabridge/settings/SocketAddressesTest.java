package org.magnoliabridge.settings;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class SocketAddressesTest {
    /** Guards against an odd address that is looked up as a host name, or whose port is out of range. */
    @Test
    void rejectsWhatIsNoAddress() {
        for (String text : List.of("300.0.0.1:80", "1.2.3.256:80", "1.2.3:80", "1.2.3.4:65536", "host:80", "1.2.3.4")) {
            assertThat(text, SocketAddresses.parse(text), is(Optional.empty()));
        }
    }

    /** Guards against an address that is read as another one. */
    @Test
    void readsWhatItFormats() {
        for (String text : List.of("0.0.0.0:0", "10.1.0.36:8167", "199.249.255.99:65535", "[0:0:0:0:0:0:0:1]:80")) {
            assertThat(SocketAddresses.parse(text).map(SocketAddresses::format), is(Optional.of(text)));
        }
    }
}
