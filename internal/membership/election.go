package membership

import (
	"cmp"
	"maps"
	"slices"

	"wheatspur/internal/tuning"
)

// View is what the decisions about leader and membership are made from.
type View struct {
	Self                 Node
	Sessions             map[string]Node // stored sessions by label
	Unreachable          map[string]bool // labels of the controllers that hear no worker
	Leader               *Node           // holder of the leader's key, nil if none
	Membership           *Record         // the stored one, nil before the first
	TokenRangesSupported bool            // every controller with a session knows FormatTokenRanges
}

// Action is what a controller should do about leader and membership; at most one of its
// fields is set.
type Action struct {
	BecomeLeader    bool    // take the leader's key
	WriteMembership *Record // store this record after the present one
}

// Decide returns the next step for a controller whose session is Registered. It does
// nothing unless the view, too, holds that session; only the leader writes the
// membership.
func Decide(view View) Action {
	switch {
	case view.Sessions[view.Self.Label] != view.Self:
		return Action{}
	case view.leadershipVacant():
		return Action{BecomeLeader: true}
	case *view.Leader != view.Self:
		return Action{}
	}
	next := view.desiredMembership()
	if view.Membership != nil {
		if next.sameMembers(view.Membership) {
			return Action{}
		}
		next.FencingToken = view.Membership.LastToken() + 1
	}
	if view.TokenRangesSupported {
		next.TokenRange = tuning.TokenRange
	}
	return Action{WriteMembership: next}
}

// leadershipVacant reports whether there is no leader, or it was this controller's former
// process, whose lease nobody renews: there is no need to wait for its expiry.
func (v *View) leadershipVacant() bool {
	return v.Leader == nil || v.Leader.Label == v.Self.Label && v.Leader.Incarnation != v.Self.Incarnation
}

// desiredMembership is the membership of all controllers with a session, led by this
// one, with the first of all fencing tokens.
func (v *View) desiredMembership() *Record {
	record := Record{FencingToken: 1, Leader: v.Self}
	record.Nodes = slices.SortedFunc(maps.Values(v.Sessions), func(a, b Node) int { return cmp.Compare(a.Label, b.Label) })
	for _, node := range record.Nodes {
		if v.Unreachable[node.Label] {
			record.Unreachable = append(record.Unreachable, node.Label)
		}
	}
	if len(record.Unreachable) == len(record.Nodes) {
		record.Unreachable = nil // somebody must own the machines
	}
	return &record
}

// sameMembers reports whether two memberships differ in their tokens alone.
func (r *Record) sameMembers(other *Record) bool {
	return r.Leader == other.Leader && slices.Equal(r.Nodes, other.Nodes) && slices.Equal(r.Unreachable, other.Unreachable)
}
