package org.magnoliabridge.standins;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against a checker that misses a violation: for each invariant, one record set that breaks it alone. */
class DemoCheckerTest {
    private final DemoRecords records = new DemoRecords();

    /** A run in which everything is right: one chat, one booking with a retry, one step, and every kind of event. */
    DemoCheckerTest() throws BadCallException {
        generation("e1", "g1", "m-oak-1-m", 1_000, "a b c", "1,1,2", "length");
        generation("e1", "g2", "m-run-1-m", 2_000, "d e", "2,2", "length");
        records.add("bookings-b1", json("[" + booking("m-oak-2-m", 3_000, "{}") + "]"));
        records.add(
                "orders",
                json("[{'order_id':'o1','fencing':4,'status':200},{'order_id':'o2','fencing':3,'status':409}]"));
        records.add("usage", json("[{'window':'w1','figures':{'oak':3}},{'window':'w1','figures':{'oak':3}}]"));
        records.key("k1", "mb_k1_5ec4e7");
        chat("m-oak-1-m", "a b c", "[{'from':0,'to':2,'version':1},{'from':2,'to':3,'version':2}]", 3);
        call("'kind':'booking','marker':'m-oak-2-m','outcome':'refused','run':'not_run','end_ms':2500,'start_ms':2400");
        call("'kind':'booking','marker':'m-oak-2-m','outcome':'ok','request':{'n':1},'answer':{'request':{'n':1}},"
                + "'start_ms':2600,'end_ms':2700,'node':'n1'");
        call("'kind':'chat','marker':'m-oak-3-m','outcome':'refused','expect':'refuse'");
        call("'kind':'chat','marker':'m-oak-4-m','outcome':'refused','expect':'ok','key_id':'k1','start_ms':40000");
        delivery(1, 1, "d1", 0, 3, "[{'index':0,'text':'d e','weight_versions':[{'from':0,'to':2,'version':2}]}]");
        observe("{'type':'step_done','run':'run','step':1,'groups':['g'],'samples_per_group':1}");
        observe("{'type':'status','node':'n1','at_ms':1,'bundle_version':1}");
        observe("{'type':'status','node':'n1','at_ms':90000,'bundle_version':2}");
        event("{'what':'key_withdrawn','key_id':'k1','at_ms':10000}");
        event("{'what':'bundle_rolled','version':2,'at_ms':10000}");
        event("{'what':'endpoint_leaving','endpoint':'e1','at_ms':5000,'lag_ms':0}");
        event("{'what':'node_stopping','node':'n1','at_ms':2000}");
    }

    @Test
    void rightRunHoldsAndExercisesEverything() {
        for (Verdict verdict : verdicts()) {
            assertThat(verdict.text(), verdict.isViolated(), is(false));
            assertThat(verdict.text(), verdict.exercised(), greaterThan(0L));
        }
    }

    @Test
    void wrongVersionBreaksI1() {
        generation("e1", "g9", "m-oak-9-m", 1, "x", "1", "length");
        chat("m-oak-9-m", "x", "[{'from':0,'to':1,'version':2}]", 1);
        assertOnlyViolated(1);
    }

    @Test
    void uncoveredTokensBreakI1() {
        generation("e1", "g9", "m-oak-9-m", 1, "x y", "1,1", "length");
        chat("m-oak-9-m", "x y", "[{'from':0,'to':1,'version':1}]", 2);
        assertOnlyViolated(1);
    }

    @Test
    void staleSampleBreaksI2() {
        generation("e1", "g9", "m-run-1-m", 1, "x", "1", "length");
        delivery(2, 1, "d2", 0, 3, "[{'index':1,'text':'x','weight_versions':[{'from':0,'to':1,'version':1}]}]");
        assertOnlyViolated(2);
    }

    @Test
    void missingSampleBreaksI3() {
        observe("{'type':'step_done','run':'run','step':2,'groups':['g'],'samples_per_group':1}");
        assertOnlyViolated(3);
    }

    @Test
    void repeatedOfferBreaksI3() {
        observe("{'type':'delivery','run':'run','step':1,'seq':1,'digest':'d1','acknowledged_before':1}");
        assertOnlyViolated(3);
    }

    @Test
    void sampleDeliveredTwiceBreaksI3() {
        delivery(1, 2, "d2", 1, 3, "[{'index':0,'text':'d e','weight_versions':[{'from':0,'to':2,'version':2}]}]");
        assertOnlyViolated(3);
    }

    @Test
    void servedWrongKeyBreaksI4() {
        generation("e1", "g9", "m-oak-3-m", 1, "x", "1", "length");
        assertOnlyViolated(4);
    }

    @Test
    void keyAtBackEndBreaksI5() {
        records.add("bookings-b1", json("[" + booking("m-oak-8-m", 1, "{'x-api-key':'mb_k1_5ec4e7'}") + "]"));
        assertOnlyViolated(5);
    }

    @Test
    void withdrawnKeyThatWorksBreaksI6() {
        call("'kind':'list','marker':'m-oak-8-m','outcome':'ok','expect':'ok','key_id':'k1','start_ms':40000");
        assertOnlyViolated(6);
    }

    @Test
    void olderFencingTokenBreaksI7() {
        records.add("orders", json("[{'order_id':'o3','fencing':3,'status':200}]"));
        assertOnlyViolated(7);
    }

    @Test
    void otherFiguresBreakI8() {
        records.add("usage", json("[{'window':'w1','figures':{'oak':4}}]"));
        assertOnlyViolated(8);
    }

    @Test
    void cutAnswerBreaksI9() {
        generation("e1", "g9", "m-oak-9-m", 1, "x y", "1,1", "length");
        chat("m-oak-9-m", "x", "[{'from':0,'to':1,'version':1}]", 1);
        assertOnlyViolated(9);
    }

    @Test
    void answerOfAnotherRequestBreaksI9() {
        chat("m-oak-9-m", "a b c", "[{'from':0,'to':2,'version':1},{'from':2,'to':3,'version':2}]", 3);
        assertOnlyViolated(9);
    }

    @Test
    void runAfterNotRunBreaksI10() {
        generation("e1", "g9", "m-oak-9-m", 1, "x", "1", "length");
        call("'kind':'chat','marker':'m-oak-9-m','outcome':'refused','run':'not_run'");
        assertOnlyViolated(10);
    }

    @Test
    void secondBookingBreaksI11() {
        call("'kind':'booking','marker':'m-oak-2-m','outcome':'broken'");
        records.add("bookings-b2", json("[" + booking("m-oak-2-m", 1, "{}") + "]"));
        assertOnlyViolated(11);
    }

    @Test
    void confirmedBookingThatNeverRanBreaksI11() {
        call("'kind':'booking','marker':'m-oak-9-m','outcome':'ok'");
        assertOnlyViolated(11);
    }

    @Test
    void lateWorkAtLeavingEndpointBreaksI12() {
        generation("e1", "g9", "m-oak-9-m", 10_001, "x", "1", "length");
        assertOnlyViolated(12);
    }

    @Test
    void cutRequestAtShutdownBreaksI13() {
        call("'kind':'list','marker':'m-oak-9-m','outcome':'broken','node':'n1','end_ms':2100");
        assertOnlyViolated(13);
    }

    @Test
    void revertedBundleBreaksI14() {
        observe("{'type':'status','node':'n1','at_ms':90001,'bundle_version':1}");
        assertThat(verdicts().get(13).violations().size(), is(2));
        assertOnlyViolated(14);
    }

    private List<Verdict> verdicts() {
        return PlatformChecks.all(records);
    }

    private void assertOnlyViolated(int invariant) {
        List<Verdict> all = verdicts();
        for (int i = 0; i < all.size(); i++) {
            assertThat(all.get(i).text(), all.get(i).isViolated(), is(i + 1 == invariant));
        }
    }

    private void generation(
            String engine, String id, String marker, long at, String tokens, String versions, String finish) {
        records.add(
                "engine-" + engine,
                json("{'generations':[{'request_id':'" + id + "','prompt':'" + marker + "','received_ms':" + at
                        + ",'finish':'" + finish + "','tokens':['" + tokens.replace(" ", "','") + "'],'versions':["
                        + versions + "]}]}"));
    }

    private static String booking(String marker, long at, String headers) {
        return "{'method':'POST','path':'/bookings','body':'" + marker + "','received_ms':" + at + ",'headers':"
                + headers + "}";
    }

    private void chat(String marker, String text, String ranges, int tokens) {
        call("'kind':'chat','marker':'" + marker + "','outcome':'ok','text':'" + text + "','weight_versions':" + ranges
                + ",'completion_tokens':" + tokens);
    }

    private void call(String fields) {
        observe("{'type':'call'," + fields + "}");
    }

    private void delivery(int step, int seq, String digest, int before, int trainer, String samples) {
        observe("{'type':'delivery','run':'run','step':" + step + ",'seq':" + seq + ",'group':'g','digest':'" + digest
                + "','acknowledged':true,'acknowledged_before':" + before + ",'trainer_version':" + trainer
                + ",'max_staleness':1,'markers':{'g':'m-run-1-m'},'samples':" + samples + "}");
    }

    private void observe(String line) {
        records.observe(json(line));
    }

    private void event(String line) {
        records.event(json(line));
    }

    private static JsonNode json(String quoted) {
        try {
            return Json.parse(quoted.replace('\'', '"').getBytes(StandardCharsets.UTF_8));
        } catch (BadCallException e) {
            throw new IllegalArgumentException(e);
        }
    }
}
