package org.magnoliabridge.batch;

/**
 * Upper bounds of the size of records in JSON, whether or not the writer escapes characters outside ASCII.
 *
 * <p>Failure case: a limit on the number of characters lets a record of multi-byte or escaped characters grow past what
 * the store, a caller or another node accepts. A record that the store refuses blocks all later ones of its log.
 */
final class JsonSize {
    /** Largest record that is written; stored objects and answers are limited to 1 MB, with their other fields. */
    static final int MAX_BYTES = 700_000;

    // Field names, ids and punctuation.
    private static final int RECORD_OVERHEAD_BYTES = 256;
    private static final int VERSION_BYTES = 20;
    private static final int ITEM_OVERHEAD_BYTES = 512;
    private static final int HEADER_OVERHEAD_BYTES = 8;
    // An escape of six characters; in UTF-8 a character takes at most three bytes.
    private static final int ESCAPED_BYTES = 6;

    private JsonSize() {}

    /** Returns the bound for a string, without its quotes. */
    static long of(String text) {
        long bytes = 0;
        for (int i = 0; i < text.length(); i++) {
            bytes += of(text.charAt(i));
        }
        return bytes;
    }

    private static int of(char c) {
        if (c == '"' || c == '\\') {
            return 2;
        }
        return c >= ' ' && c < 0x7f ? 1 : ESCAPED_BYTES;
    }

    /** Returns the bound for a result. */
    static long of(ItemResult result) {
        return RECORD_OVERHEAD_BYTES
                + of(result.text())
                + of(result.score().orElse(""))
                + (long) VERSION_BYTES * result.versions().size();
    }

    /** Returns the bound for a text in progress. */
    static long of(PartialText text) {
        return RECORD_OVERHEAD_BYTES
                + text.events().stream()
                        .mapToLong(e -> of(e.data()) + 2 * VERSION_BYTES)
                        .sum();
    }

    /** Returns the bound for an item. */
    static long of(BatchItem item) {
        long headers = item.headers().entrySet().stream()
                .mapToLong(h -> of(h.getKey()) + of(h.getValue()) + HEADER_OVERHEAD_BYTES)
                .sum();
        return ITEM_OVERHEAD_BYTES
                + of(item.path())
                + headers
                + ofBase64(item.body())
                + item.scorer().map(JsonSize::of).orElse(0L);
    }

    private static long of(ScoreRequest scorer) {
        return RECORD_OVERHEAD_BYTES + of(scorer.host()) + of(scorer.path()) + ofBase64(scorer.body());
    }

    // Four characters for three bytes.
    private static long ofBase64(byte[] body) {
        return 3L * body.length / 2;
    }
}
