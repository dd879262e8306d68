package org.magnoliabridge.external;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

class ObjectWatchTest {
    private static final long WAIT_S = 30;

    /** Guards against a watch that ends without a word because its listener could not take one object. */
    @Test
    void goesOnAfterAStackOverflowOfItsListener() throws InterruptedException {
        AtomicInteger lists = new AtomicInteger();
        CountDownLatch again = new CountDownLatch(1);
        ObjectWatch.Listener listener = new ObjectWatch.Listener() {
            @Override
            public void listed(ObjectStore.Listing all) {
                if (lists.incrementAndGet() == 1) {
                    throw new StackOverflowError();
                }
                again.countDown();
            }

            @Override
            public void changed(ObjectStore.Listing changes) {}

            @Override
            public void failed(PlatformException cause) {}
        };
        ObjectWatch.Times times = new ObjectWatch.Times(10, 0, 10);
        ObjectWatch watch = new ObjectWatch(new MemoryStore(), "servers", times, listener, new Random(1));
        try {
            assertThat(again.await(WAIT_S, TimeUnit.SECONDS), is(true));
        } finally {
            watch.close();
        }
    }
}
