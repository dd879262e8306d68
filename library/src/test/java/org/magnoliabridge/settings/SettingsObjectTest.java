package org.magnoliabridge.settings;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.magnoliabridge.settings.SettingsException.Kind;
import org.magnoliabridge.settings.SettingsException.Problem;

class SettingsObjectTest {
    private static SettingsObject parse(String text) throws SettingsException {
        return SettingsObject.parse(text.getBytes(StandardCharsets.UTF_8));
    }

    /** Guards against parsing comments as content. */
    @Test
    void readsFieldsBesideComments() throws SettingsException {
        SettingsObject root = parse("{\n// the name\n\"node_id\": \"n1\", /* ms */ \"ttl\": 5}");
        assertThat(root.text("node_id"), is("n1"));
        assertThat(root.integer("ttl", 1, 10), is(5L));
        root.finish();
    }

    /** Guards against reporting only the first of several problems. */
    @Test
    void reportsEveryProblemWithFieldAndLine() throws SettingsException {
        SettingsObject root = parse("{\n\"ttl\": 50,\n\"nmae\": 1,\n\"list\": [{\"x\": true}]\n}");
        root.integer("ttl", 1, 10);
        root.objects("list").forEach(item -> item.integer("x", 0, 1));
        root.text("name");
        SettingsException thrown = assertThrows(SettingsException.class, root::finish);
        assertThat(
                thrown.problems(),
                contains(
                        new Problem(Kind.MISSING, "name", 1, "a string"),
                        new Problem(Kind.OUT_OF_RANGE, "ttl", 2, "a whole number from 1 to 10"),
                        new Problem(Kind.UNKNOWN, "nmae", 3, "one of list, name, ttl"),
                        new Problem(Kind.WRONG_TYPE, "list[0].x", 4, "a whole number from 0 to 1")));
    }

    /** Guards against a repeated field name silently overwriting the first value. */
    @Test
    void refusesRepeatedFieldNames() {
        SettingsException thrown = assertThrows(SettingsException.class, () -> parse("{\"a\": 1,\n\"a\": 2}"));
        assertThat(thrown.problems(), hasSize(1));
        assertThat(thrown.problems().get(0).kind(), is(Kind.MALFORMED));
        assertThat(thrown.problems().get(0).line(), is(2));
    }

    /** Guards against an unchecked exception or a hang on arbitrary input. */
    @Property(tries = 500, seed = "11")
    void arbitraryTextGivesAnObjectOrATypedError(@ForAll String text) {
        try {
            parse("{" + text).finish();
        } catch (SettingsException e) {
            assertThat(e.problems().isEmpty(), is(false));
        }
    }
}
