package org.magnoliabridge.membership;

import java.util.List;
import java.util.Objects;

/**
 * What this node knows of another member, for status pages.
 *
 * @param versions the versions of {@link Item#PINNED} that the member last reported, 0 if it has reported none
 * @param contactAgeMs for how long the member has not answered, in milliseconds; 0 while it is alive
 */
public record MemberStatus(Member member, List<Long> versions, long contactAgeMs) {
    public MemberStatus {
        Objects.requireNonNull(member);
        versions = List.copyOf(versions);
    }
}
