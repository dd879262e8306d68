package org.magnoliabridge.external;

import java.net.InetSocketAddress;
import org.magnoliabridge.http.HttpAnswer;
import org.magnoliabridge.http.HttpCaller;
import org.magnoliabridge.http.HttpLimits;

/** {@link UsageReports} over HTTP. */
public final class HttpUsageReports implements UsageReports {
    private final PlatformHttp http;

    public HttpUsageReports(HttpCaller caller, InetSocketAddress target, HttpLimits limits) {
        this.http = new PlatformHttp(caller, target, limits);
    }

    @Override
    public void report(Report report) throws PlatformException {
        HttpAnswer answer = http.change(
                http.send("PUT", "/usage/" + report.window(), report.record()).onlyWhile(report.permit()::isValid));
        if (answer.status() != 200) {
            throw PlatformHttp.rejected(answer);
        }
    }
}
