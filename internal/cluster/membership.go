package cluster

import (
	"time"

	"wheatspur/internal/membership"
)

// membershipState is this controller's own session, and the sessions, the leader
// and the membership as stored. The lock guards all of it.
type membershipState struct {
	Self                membership.Node               // this controller's label, which never changes, and the lease of its session
	Session             membership.SessionState       // of this controller
	Sessions            map[string]membership.Node    // controllers with a stored session, by label
	StoredSessions      map[string]membership.Session // the same with the formats and the program that each supports
	Unreachable         map[string]bool               // controllers that have stored that no worker reaches them
	Leader              *membership.Node              // as stored; nil if there is none
	Membership          *membership.Record            // the newest that is known; nil if there is none
	MemberLabels        []string                      // the labels of Membership's nodes
	MembershipChangedAt time.Time                     // when the membership last changed here
	shardOwners         map[string]string             // owner by machine under Membership; filled as they are asked for
}

// ShardOwner returns the label of the member that owns a machine. There has to be
// a membership. The lock is held.
func (cs *State) ShardOwner(machine string) string {
	owner, ok := cs.shardOwners[machine]
	if !ok {
		owner = cs.Membership.ShardOwner(machine)
		if cs.Inventory.KeyOf(machine) != "" {
			cs.shardOwners[machine] = owner // stored machines only: whatever workers name would grow it without bound
		}
	}
	return owner
}

// IsMember reports whether this controller is a member of the newest membership
// that it knows. The lock is held.
func (cs *State) IsMember() bool {
	return cs.Membership != nil && cs.Session == membership.Registered && cs.Membership.Contains(cs.Self) && cs.Cache.Consistent()
}

// IsLeader reports whether this controller is the leader, by the membership and by
// the leader record. The lock is held.
func (cs *State) IsLeader() bool {
	return cs.IsMember() && cs.Membership.Leader == cs.Self && cs.Leader != nil && *cs.Leader == cs.Self
}

// DependenciesSupported reports whether every member knows jobs that are stored
// while they wait for their dependencies. A member that does not would run such a
// job at once if it took it in, and would stop its tasks on its machines. The lock
// is held.
func (cs *State) DependenciesSupported() bool {
	return cs.Membership != nil && cs.Membership.AllSupport(membership.FormatDependencies, cs.StoredSessions)
}

// TokenRangesSupported reports whether every controller with a session knows
// memberships that span several fencing tokens. The lock is held.
func (cs *State) TokenRangesSupported() bool {
	for label, node := range cs.Sessions {
		if stored := cs.StoredSessions[label]; stored.Node != node || stored.Format < membership.FormatTokenRanges {
			return false
		}
	}
	return true
}

// SetMembership enters a new membership. The lock is held.
func (cs *State) SetMembership(record *membership.Record) {
	cs.Membership = record
	cs.MemberLabels = record.Labels()
	cs.MembershipChangedAt = cs.Now()
	clear(cs.shardOwners)
}
