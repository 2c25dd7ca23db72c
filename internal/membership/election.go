package membership

import (
	"sort"

	"wheatspur/internal/tuning"
)

// View is what the decisions are made from.
type View struct {
	Self                 Node
	Sessions             map[string]Node // stored sessions by label
	Unreachable          map[string]bool // nodes that hear no worker
	Leader               *Node           // holder of the lead key, nil if none
	Membership           *Record         // nil before the first
	TokenRangesSupported bool            // every node with a session knows of spans of tokens
}

// Action is what a node should do about membership.
type Action struct {
	BecomeLeader    bool
	WriteMembership *Record
}

// Decide returns the next step for a registered node.
func Decide(v View) Action {
	if v.Sessions[v.Self.Label] != v.Self {
		return Action{}
	}
	if v.Leader == nil || v.Leader.Label == v.Self.Label && v.Leader.Incarnation != v.Self.Incarnation {
		// No leader, or it was this node's former process, which is gone.
		return Action{BecomeLeader: true}
	}
	if *v.Leader != v.Self {
		return Action{}
	}
	want := Record{FencingToken: 1, Leader: v.Self}
	for _, n := range v.Sessions {
		want.Nodes = append(want.Nodes, n)
	}
	sort.Slice(want.Nodes, func(a, b int) bool { return want.Nodes[a].Label < want.Nodes[b].Label })
	for _, n := range want.Nodes {
		if v.Unreachable[n.Label] {
			want.Unreachable = append(want.Unreachable, n.Label)
		}
	}
	if len(want.Unreachable) == len(want.Nodes) {
		want.Unreachable = nil // somebody must own the machines
	}
	if v.Membership != nil {
		if sameMembership(*v.Membership, want) {
			return Action{}
		}
		want.FencingToken = v.Membership.LastToken() + 1
	}
	if v.TokenRangesSupported {
		want.TokenRange = tuning.TokenSpan
	}
	return Action{WriteMembership: &want}
}

func sameMembership(a, b Record) bool {
	if a.Leader != b.Leader || len(a.Nodes) != len(b.Nodes) || len(a.Unreachable) != len(b.Unreachable) {
		return false
	}
	for i := range a.Unreachable {
		if a.Unreachable[i] != b.Unreachable[i] {
			return false
		}
	}
	for i := range a.Nodes {
		if a.Nodes[i] != b.Nodes[i] {
			return false
		}
	}
	return true
}
