package org.magnoliabridge.external;

import java.net.InetSocketAddress;
import org.magnoliabridge.http.HttpAnswer;
import org.magnoliabridge.http.HttpCaller;
import org.magnoliabridge.http.HttpLimits;
import org.magnoliabridge.ids.ServiceId;
import org.magnoliabridge.ids.WeightVersion;

/** {@link WeightStore} over HTTP. */
public final class HttpWeightStore implements WeightStore {
    private final PlatformHttp http;

    public HttpWeightStore(HttpCaller caller, InetSocketAddress target, HttpLimits limits) {
        this.http = new PlatformHttp(caller, target, limits);
    }

    @Override
    public WeightVersion newest(ServiceId service) throws PlatformException {
        long version = PlatformHttp.number(PlatformHttp.json(http.read(http.get(path(service)))), "version");
        if (version < 0) {
            throw new PlatformException.Malformed("negative weight version: " + version, null);
        }
        return new WeightVersion(version);
    }

    @Override
    public void permitLoad(ServiceId service, WeightVersion version) throws PlatformException {
        String path = path(service) + "/" + version + "/loads";
        HttpAnswer answer = http.change(http.send("POST", path, new byte[0]));
        if (answer.status() != 200) {
            throw PlatformHttp.rejected(answer);
        }
    }

    private static String path(ServiceId service) {
        return "/weights/" + service;
    }
}
