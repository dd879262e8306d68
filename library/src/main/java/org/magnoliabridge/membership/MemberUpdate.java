package org.magnoliabridge.membership;

import java.util.Optional;
import org.magnoliabridge.ids.NodeId;

/** A report about a member; the location is left out when only the state changed, to save bytes. */
record MemberUpdate(NodeId id, MemberState state, Optional<NodeLocation> location) {}
