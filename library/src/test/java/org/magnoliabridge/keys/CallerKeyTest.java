package org.magnoliabridge.keys;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.magnoliabridge.keys.CallerRequest.Header;

class CallerKeyTest {
    private static final String KEY = "mb_k1_" + "ab".repeat(32);
    private static final Header JSON = new Header("Content-Type", "application/json");

    private static CallerRequest request(List<Header> headers, String query, String body) {
        return new CallerRequest(headers, query, body.getBytes(StandardCharsets.UTF_8));
    }

    private static String print(CallerRequest r) {
        return r.headers() + "|" + r.query() + "|" + new String(r.body(), StandardCharsets.UTF_8);
    }

    /** Guards I5 for any combination of locations: the key is found, and the stripped request does not contain it. */
    @Property(tries = 200, seed = "41")
    void removesTheKeyFromEveryLocation(@ForAll @IntRange(min = 1, max = 127) int places, @ForAll long seed)
            throws Exception {
        Random random = new Random(seed);
        List<Header> headers = new ArrayList<>(List.of(JSON, new Header("X-Trace", "t1")));
        String bearer = random.nextBoolean() ? "Bearer " : "bEARER  ";
        addIf(headers, places, 1, new Header("AUTHORIZATION", bearer + KEY));
        addIf(headers, places, 2, new Header("x-api-key", KEY));
        addIf(headers, places, 4, new Header("Cookie", "a=b; api_key=\"" + KEY + "\"; c=d"));
        String query = "q=1" + ((places & 8) != 0 ? "&api%5Fkey=" + KEY : "") + "&r=%20";
        String field = (places & 16) != 0 ? ",\"api\\u005fkey\":\"" + KEY + "\"" : "";
        field += (places & 32) != 0 ? ",\"api_key\":\"" + KEY + "\"" : "";
        boolean elsewhere = (places & 63) != 0 && (places & 64) != 0;
        addIf(headers, elsewhere ? 1 : 0, 1, new Header("X-Other", "seen " + KEY));
        CallerKey key = CallerKey.extract(request(headers, query, "{\"n\":1.50E+3" + field + ",\"m\":[1]}"));
        assertThat(key.text(), equalTo((places & 63) == 0 ? Optional.empty() : Optional.of(KEY)));
        assertThat(print(key.stripped()).contains("abab"), is(false));
        assertThat(new String(key.stripped().body(), StandardCharsets.UTF_8), equalTo("{\"n\":1.50E+3,\"m\":[1]}"));
    }

    private static void addIf(List<Header> headers, int places, int bit, Header header) {
        if ((places & bit) != 0) {
            headers.add(header);
        }
    }

    /** Guards I4: a request with keys of two teams must not run for either team. */
    @Test
    void returnsNoKeyIfKeysDiffer() throws Exception {
        CallerRequest two = request(List.of(new Header("X-Api-Key", KEY)), "api_key=mb_k2_x", "");
        assertThat(CallerKey.extract(two).text(), equalTo(Optional.empty()));
    }

    /** Guards against a key in a part of the request that is not parsed here but is parsed by the back end. */
    @Test
    void rejectsUnparsableRequests() {
        for (String body : List.of("{\"a\":1}{\"api_key\":\"k\"}", "{\"a\":", "{\"api_key\":\"k\"", "{'a':1}")) {
            assertThrows(
                    MalformedRequestException.class, () -> CallerKey.extract(request(List.of(JSON), "", body)), body);
        }
        Header gzip = new Header("Content-Encoding", "gzip");
        assertThrows(MalformedRequestException.class, () -> CallerKey.extract(request(List.of(JSON, gzip), "", "x")));
        assertThrows(MalformedRequestException.class, () -> CallerKey.extract(request(List.of(), "a=%zz", "")));
    }

    /** Guards against changes to content that holds no key: nested fields, arrays and other types. */
    @Test
    void leavesOtherBodiesUnchanged() throws Exception {
        for (String body : List.of("{ \"a\" : {\"api_key\":\"x\"} }", "[{\"api_key\":\"x\"}]", "\"api_key\"")) {
            CallerKey key = CallerKey.extract(request(List.of(JSON), "", body));
            assertThat(new String(key.stripped().body(), StandardCharsets.UTF_8), equalTo(body));
        }
        List<Header> text = List.of(new Header("Content-Type", "text/plain"));
        assertThat(
                print(CallerKey.extract(request(text, "", "{\"api_key\"")).stripped())
                        .contains("api_key"),
                is(true));
    }
}
