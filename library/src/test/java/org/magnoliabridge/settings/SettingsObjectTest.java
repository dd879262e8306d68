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

    /** Guards against a fraction that is cut to a whole number, or a number in quotes that passes. */
    @Test
    void readsFractionsWithinTheirRange() throws SettingsException {
        SettingsObject root = parse("{\"share\": 0.36, \"speed\": 2, \"high\": 1.01, \"text\": \"0.5\"}");
        assertThat(root.number("share", 0.001, 1, 0), is(0.36));
        assertThat(root.number("speed", 0.001, 10, 0), is(2.0));
        assertThat(root.number("absent", 0.001, 1, 0.5), is(0.5));
        assertThat(root.number("high", 0.001, 1, 0.5), is(0.5));
        assertThat(root.number("text", 0.001, 1, 0.5), is(0.5));
        SettingsException thrown = assertThrows(SettingsException.class, root::finish);
        assertThat(
                thrown.problems(),
                contains(
                        new Problem(Kind.OUT_OF_RANGE, "high", 1, "a number from 0.001 to 1.0"),
                        new Problem(Kind.WRONG_TYPE, "text", 1, "a number from 0.001 to 1.0")));
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
