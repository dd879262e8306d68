package org.magnoliabridge.daemon;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.magnoliabridge.external.ObjectStore;
import org.magnoliabridge.external.ObjectWatch;
import org.magnoliabridge.external.PlatformException;
import org.magnoliabridge.gateway.CurrentPolicy;
import org.magnoliabridge.gateway.GatewayConfig;
import org.magnoliabridge.telemetry.LogFields;

/** Applies each newer configuration that a watch of the platform's store reports. */
final class ConfigFollower implements ObjectWatch.Listener {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    private final GatewayContext context;
    private final CurrentPolicy policy;
    private final List<Consumer<GatewayConfig>> listeners = new ArrayList<>();
    private boolean reachable = true;

    ConfigFollower(GatewayContext context, CurrentPolicy policy) {
        this.context = context;
        this.policy = policy;
    }

    /** Adds a listener that is called with each new configuration on the control thread. */
    void onChange(Consumer<GatewayConfig> listener) {
        listeners.add(listener);
    }

    @Override
    public void listed(ObjectStore.Listing all) {
        apply(all);
    }

    @Override
    public void changed(ObjectStore.Listing changes) {
        apply(changes);
    }

    @Override
    public void failed(PlatformException cause) {
        if (reachable) {
            reachable = false;
            LOG.atWarning().withCause(cause).log("configuration watch failed; retrying");
        }
    }

    private void apply(ObjectStore.Listing listing) {
        if (!reachable) {
            reachable = true;
            LOG.atInfo().log("configuration watch recovered");
        }
        context.platform().config(listing).ifPresent(config -> {
            if (policy.accept(config)) {
                LOG.atInfo()
                        .with(LogFields.VERSION, config.version())
                        .with(LogFields.COUNT, (long) config.routes().size())
                        .log("configuration in force");
                context.loop().post(() -> listeners.forEach(l -> l.accept(config)));
            }
        });
    }
}
