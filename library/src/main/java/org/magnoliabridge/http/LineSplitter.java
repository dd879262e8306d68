package org.magnoliabridge.http;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/** Splits content into lines at LF or CRLF. */
final class LineSplitter implements UndertowHttpCaller.ContentReceiver {
    private final HttpCaller.LineReceiver lines;
    private final int maxLineBytes;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();

    LineSplitter(HttpCaller.LineReceiver lines, int maxLineBytes) {
        this.lines = lines;
        this.maxLineBytes = maxLineBytes;
    }

    @Override
    public boolean head(HttpAnswer head) {
        return lines.head(head);
    }

    @Override
    public boolean bytes(byte[] piece) throws HttpFailure {
        int start = 0;
        for (int i = 0; i < piece.length; i++) {
            if (piece[i] == '\n') {
                line.write(piece, start, i - start);
                start = i + 1;
                if (!flush()) {
                    return false;
                }
            }
        }
        line.write(piece, start, piece.length - start);
        if (line.size() > maxLineBytes) {
            throw new HttpFailure.TooLarge(maxLineBytes);
        }
        return true;
    }

    @Override
    public boolean end() {
        return line.size() == 0 || flush();
    }

    private boolean flush() {
        String text = line.toString(StandardCharsets.UTF_8);
        line.reset();
        return lines.line(text.endsWith("\r") ? text.substring(0, text.length() - 1) : text);
    }
}
