package cluster

import (
	"time"

	"wheatspur/internal/membership"
)

// membershipState holds this controller's own session, and the sessions, the leader and the
// membership as stored. The lock guards all of it.
type membershipState struct {
	Self                membership.Controller            // this controller's label, which never changes, and the ID of its lease
	Session             membership.SessionState          // state of this controller's session
	Sessions            map[string]membership.Controller // controllers with a stored session, by label
	StoredSessions      map[string]membership.Session    // the same, with the format version and program version of each
	Unreachable         map[string]bool                  // labels of the controllers that have stored that no worker reaches them
	Leader              *membership.Controller           // as stored; nil if there is none
	Membership          *membership.Record               // the newest known; nil if there is none
	MemberLabels        []string                         // labels of Membership's nodes
	MembershipChangedAt time.Time                        // when this controller last applied a new membership
	shardOwners         map[string]string                // cache of the owner by machine under Membership, filled on demand
}

// ShardOwner returns the label of the member that owns a machine. The membership must be
// known. The lock is held.
func (cs *State) ShardOwner(machine string) string {
	owner, ok := cs.shardOwners[machine]
	if !ok {
		owner = cs.Membership.ShardOwner(machine)
		if cs.Inventory.RecordKey(machine) != "" {
			cs.shardOwners[machine] = owner // only for stored machines: caching every name that workers send would be unbounded
		}
	}
	return owner
}

// IsMember reports whether this controller is a member of the newest membership that it knows,
// with a registered session and a consistent cache. The lock is held.
func (cs *State) IsMember() bool {
	return cs.Membership != nil && cs.Session == membership.Registered && cs.Membership.Contains(cs.Self) && cs.Cache.Consistent()
}

// IsLeader reports whether this controller is the leader according to both the membership and
// the leader record. The lock is held.
func (cs *State) IsLeader() bool {
	return cs.IsMember() && cs.Membership.Leader == cs.Self && cs.Leader != nil && *cs.Leader == cs.Self
}

// DependenciesSupported reports whether every member supports jobs that are stored while they
// wait for their dependencies. A member that does not would run such a job at once if it
// accepted it, and would stop the job's tasks on its machines. The lock is held.
func (cs *State) DependenciesSupported() bool {
	return cs.Membership != nil && cs.Membership.AllSupportFormat(membership.FormatDependencies, cs.StoredSessions)
}

// LeaderLacksTokenRanges reports whether the session of the present leader declares a program
// version that gives its memberships a single fencing token, while this controller's session
// declares one with token ranges. The lock is held.
func (cs *State) LeaderLacksTokenRanges() bool {
	if cs.Leader == nil {
		return false
	}
	own, leader := cs.StoredSessions[cs.Self.Label], cs.StoredSessions[cs.Leader.Label]
	return own.Controller == cs.Self && own.Format >= membership.FormatTokenRanges &&
		leader.Controller == *cs.Leader && leader.Format < membership.FormatTokenRanges
}

// SetMembership applies a new membership. The lock is held.
func (cs *State) SetMembership(record *membership.Record) {
	cs.Membership = record
	cs.MemberLabels = record.Labels()
	cs.MembershipChangedAt = cs.Now()
	clear(cs.shardOwners)
}
