package controller

import (
	"time"

	"wheatspur/internal/membership"
)

// membershipState is this controller's own session, and the sessions, the leader
// and the membership as stored.
type membershipState struct {
	self                membership.Node
	session             membership.SessionState
	sessions            map[string]membership.Node
	storedSessions      map[string]membership.Session // the same, with what they say of their programs
	unreachable         map[string]bool               // controllers that say that they hear no worker
	leader              *membership.Node
	membership          *membership.Record
	memberLabels        []string          // of the membership's nodes
	membershipChangedAt time.Time         // when the membership last changed here
	shardOwners         map[string]string // of machines, under this membership; filled as they are asked for
}

// shardOwner is the member that a machine is hashed to; the lock is held.
func (cs *clusterState) shardOwner(host string) string {
	o, ok := cs.shardOwners[host]
	if !ok {
		o = cs.membership.Owner(host)
		if cs.inventory.KeyOf(host) != "" {
			cs.shardOwners[host] = o // bounded by what is stored
		}
	}
	return o
}

// isMember reports whether this node is a member of the newest membership it
// knows; the lock is held.
func (cs *clusterState) isMember() bool {
	return cs.membership != nil && cs.session == membership.Registered && cs.membership.Contains(cs.self) && cs.cache.Consistent()
}

// isLeader reports whether this node is the leader; the lock is held.
func (cs *clusterState) isLeader() bool {
	return cs.isMember() && cs.membership.Leader == cs.self && cs.leader != nil && *cs.leader == cs.self
}

// dependenciesSupported reports whether every member reads jobs that are stored waiting; the
// lock is held. A node that does not would run such a job at once if it took it in,
// and would stop its tasks on its machines.
func (cs *clusterState) dependenciesSupported() bool {
	return cs.membership != nil && cs.membership.AllSupport(membership.FormatDependencies, cs.storedSessions)
}

// tokenRangesSupported reports whether every node with a session knows of memberships that
// span several tokens; the lock is held.
func (cs *clusterState) tokenRangesSupported() bool {
	for label, s := range cs.sessions {
		if v := cs.storedSessions[label]; v.Node != s || v.Format < membership.FormatTokenRanges {
			return false
		}
	}
	return true
}

// setMembership enters a new membership; the lock is held.
func (cs *clusterState) setMembership(r *membership.Record) {
	cs.membership = r
	cs.memberLabels = r.Labels()
	cs.membershipChangedAt = cs.now()
	clear(cs.shardOwners)
}
