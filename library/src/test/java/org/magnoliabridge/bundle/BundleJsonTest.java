package org.magnoliabridge.bundle;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasItem;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.magnoliabridge.settings.SettingsException.Kind;

class BundleJsonTest {
    static final String JSON = """
            {"version":3,"data_centres":[{"id":"trent","region":"midlands"}],
            "teams":[{"id":"anvil","weight":2,"tokens_per_second":1000,"services":["coachgen","benchdesk"]}],
            "keys":[{"id":"k1","team":"anvil","sha256":"%s"}],
            "services":[{"id":"coachgen","kind":"model","priority":"training","routes":[]},
            {"id":"benchdesk","kind":"plain","priority":"interactive","routes":[
            {"method":"POST","path_prefix":"/book","open":false,"idempotent":false,"outcome_path":"/outcome"},
            {"method":"*","path_prefix":"/","open":true,"idempotent":true}]}],
            "bounds":{"max_body_bytes":1048576,"max_staleness":4,"engine_slots":16}}
            """.formatted("0a".repeat(32));

    static Bundle sample() {
        try {
            return BundleJson.read(JSON.getBytes(StandardCharsets.UTF_8));
        } catch (InvalidBundleException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Guards against fields that are lost when a bundle is written as JSON and read again. */
    @Test
    void readsWhatItWrites() throws Exception {
        Bundle bundle = sample();
        assertThat(BundleJson.read(BundleJson.write(bundle)), equalTo(bundle));
        Service plain = bundle.services().get(1);
        assertThat(plain.route("POST", "/book/7").orElseThrow().outcomePath(), equalTo(Optional.of("/outcome")));
        assertThat(plain.route("POST", "/bookings").orElseThrow().pathPrefix(), equalTo("/"));
    }

    /** Guards against a faulty bundle being accepted: each fault is named with its kind and field. */
    @ParameterizedTest
    @CsvSource(
            delimiter = ';',
            quoteCharacter = '`',
            value = {
                "\"weight\":2; \"weight\":0; OUT_OF_RANGE; teams[0].weight",
                "\"weight\":2; \"weight\":9999999999; OUT_OF_RANGE; teams[0].weight",
                "\"weight\":2; \"weight\":\"2\"; WRONG_TYPE; teams[0].weight",
                "\"weight\":2; \"wait\":2; UNKNOWN; teams[0].wait",
                "\"weight\":2; \"wait\":2; MISSING; teams[0].weight",
                "\"team\":\"anvil\"; \"team\":\"anvils\"; DANGLING; keys[0].team",
                "[\"coachgen\"; [\"coach\"; DANGLING; teams[0].services[0]",
                "{\"id\":\"benchdesk\"; {\"id\":\"coachgen\"; DUPLICATE; services[1].id",
                "{\"id\":\"k1\"; {\"id\":\"k/1\"; INVALID; keys[0].id",
                "0a0a; 0A0a; INVALID; keys[0].sha256",
                "\"kind\":\"plain\"; \"kind\":\"plane\"; INVALID; services[1].kind",
                "\"open\":true; \"open\":1; WRONG_TYPE; services[1].routes[1].open",
                "\"/book\"; \"/../book\"; INVALID; services[1].routes[0].path_prefix",
                "\"max_staleness\":4; \"max_staleness\":-1; OUT_OF_RANGE; bounds.max_staleness",
                "\"version\":3; \"version\":0; OUT_OF_RANGE; version",
                "\"version\":3; \"version\":3,\"version\":4; MALFORMED; ``",
                "\"bounds\":{; \"bound\":{; MISSING; bounds",
            })
    void namesTheField(String from, String to, Kind kind, String field) {
        byte[] json = JSON.replaceFirst(java.util.regex.Pattern.quote(from), to).getBytes(StandardCharsets.UTF_8);
        InvalidBundleException e = assertThrows(InvalidBundleException.class, () -> BundleJson.read(json));
        assertThat(e.problems().stream().map(p -> p.kind() + " " + p.field()).toList(), hasItem(kind + " " + field));
    }
}
