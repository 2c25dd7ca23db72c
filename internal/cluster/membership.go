package cluster

import (
	"time"

	"wheatspur/internal/membership"
)

// membershipState is this controller's own session, and the sessions, the leader
// and the membership as stored.
type membershipState struct {
	Self                membership.Node
	Session             membership.SessionState
	Sessions            map[string]membership.Node
	StoredSessions      map[string]membership.Session // the same, with what they say of their programs
	Unreachable         map[string]bool               // controllers that say that they hear no worker
	Leader              *membership.Node
	Membership          *membership.Record
	MemberLabels        []string          // of the membership's nodes
	MembershipChangedAt time.Time         // when the membership last changed here
	shardOwners         map[string]string // of machines, under this membership; filled as they are asked for
}

// ShardOwner is the member that a machine is hashed to; the lock is held.
func (cs *State) ShardOwner(host string) string {
	o, ok := cs.shardOwners[host]
	if !ok {
		o = cs.Membership.Owner(host)
		if cs.Inventory.KeyOf(host) != "" {
			cs.shardOwners[host] = o // bounded by what is stored
		}
	}
	return o
}

// IsMember reports whether this node is a member of the newest membership it
// knows; the lock is held.
func (cs *State) IsMember() bool {
	return cs.Membership != nil && cs.Session == membership.Registered && cs.Membership.Contains(cs.Self) && cs.Cache.Consistent()
}

// IsLeader reports whether this node is the leader; the lock is held.
func (cs *State) IsLeader() bool {
	return cs.IsMember() && cs.Membership.Leader == cs.Self && cs.Leader != nil && *cs.Leader == cs.Self
}

// DependenciesSupported reports whether every member reads jobs that are stored waiting; the
// lock is held. A node that does not would run such a job at once if it took it in,
// and would stop its tasks on its machines.
func (cs *State) DependenciesSupported() bool {
	return cs.Membership != nil && cs.Membership.AllSupport(membership.FormatDependencies, cs.StoredSessions)
}

// TokenRangesSupported reports whether every node with a session knows of memberships that
// span several tokens; the lock is held.
func (cs *State) TokenRangesSupported() bool {
	for label, s := range cs.Sessions {
		if v := cs.StoredSessions[label]; v.Node != s || v.Format < membership.FormatTokenRanges {
			return false
		}
	}
	return true
}

// SetMembership enters a new membership; the lock is held.
func (cs *State) SetMembership(r *membership.Record) {
	cs.Membership = r
	cs.MemberLabels = r.Labels()
	cs.MembershipChangedAt = cs.Now()
	clear(cs.shardOwners)
}
