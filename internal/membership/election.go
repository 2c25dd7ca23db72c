package membership

import (
	"cmp"
	"maps"
	"slices"

	"wheatspur/internal/tuning"
)

// View is the input of the decisions about the leader and the membership.
type View struct {
	Self        Controller
	Sessions    map[string]Controller // stored sessions by label
	Unreachable map[string]bool       // labels of the controllers that have stored that no worker reaches them
	Leader      *Controller           // holder of the leader key; nil if there is none
	Membership  *Record               // as stored; nil before the first
	// LeaderLacksTokenRanges: the program version of the leader gives its memberships a single
	// token, with which no machine's token can be raised; this controller's has token ranges.
	LeaderLacksTokenRanges bool
	// MachinesAccounted: this controller knows what runs on its machines. Until then it would
	// scale nothing out as the leader.
	MachinesAccounted bool
}

// Action is the next step of a controller concerning the leader and the membership. At most
// one of its fields is set.
type Action struct {
	BecomeLeader    bool    // acquire the leader key
	WriteMembership *Record // store this record as the successor of the current one
}

// Decide returns the next step for a controller whose session is Registered. There is none
// unless the view contains that session. Only the leader writes the membership.
func Decide(view View) Action {
	switch {
	case view.Sessions[view.Self.Label] != view.Self:
		return Action{}
	case view.leadershipVacant(), view.supersedesLeader():
		return Action{BecomeLeader: true}
	case *view.Leader != view.Self:
		return Action{}
	}
	next := view.desiredMembership()
	lastToken := uint64(0)
	if view.Membership != nil {
		if next.sameMembers(view.Membership) {
			return Action{}
		}
		lastToken = view.Membership.LastToken()
	}
	next.FencingToken, next.TokensBelow = lastToken+tuning.TokenRange, tuning.TokenRange-1
	return Action{WriteMembership: next}
}

// leadershipVacant reports whether there is no leader, or the leader is a former incarnation
// of this controller. Nobody renews the lease of a former incarnation, so there is no need
// to wait until it expires.
func (v *View) leadershipVacant() bool {
	return v.Leader == nil || v.Leader.Label == v.Self.Label && v.Leader.Incarnation != v.Self.Incarnation
}

// supersedesLeader reports whether this controller takes the leadership from a controller whose
// program version has no token ranges. Without them, no start is sent in a direct call.
func (v *View) supersedesLeader() bool {
	return v.LeaderLacksTokenRanges && v.MachinesAccounted && v.Leader.Label != v.Self.Label
}

// desiredMembership returns the membership of all controllers with a session, led by this
// one, without its fencing tokens.
func (v *View) desiredMembership() *Record {
	record := Record{Leader: v.Self}
	record.Members = slices.SortedFunc(maps.Values(v.Sessions), func(a, b Controller) int { return cmp.Compare(a.Label, b.Label) })
	for _, node := range record.Members {
		if v.Unreachable[node.Label] {
			record.Unreachable = append(record.Unreachable, node.Label)
		}
	}
	if len(record.Unreachable) == len(record.Members) {
		record.Unreachable = nil // some member must own the machines
	}
	return &record
}

// sameMembers reports whether two memberships differ at most in their tokens.
func (r *Record) sameMembers(other *Record) bool {
	return r.Leader == other.Leader && slices.Equal(r.Members, other.Members) && slices.Equal(r.Unreachable, other.Unreachable)
}
