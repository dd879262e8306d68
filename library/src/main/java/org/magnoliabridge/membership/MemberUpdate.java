package org.magnoliabridge.membership;

import java.util.Optional;
import org.magnoliabridge.ids.NodeId;

/** News of a member; the place is left out when only the standing changed, to save bytes. */
record MemberUpdate(NodeId id, MemberState state, Optional<NodeLocation> location) {}
