package membership

import (
	"testing"

	"wheatspur/internal/tuning"
)

func node(label string, incarnation uint64) Controller {
	return Controller{Label: label, Incarnation: incarnation}
}

// requireNoAction fails the test if Decide returns any action.
func requireNoAction(t *testing.T, view View, when string) {
	t.Helper()
	if action := Decide(view); action.BecomeLeader || action.WriteMembership != nil {
		t.Fatalf("%s: %+v, want no action", when, action)
	}
}

// requireMembership returns the membership that Decide wants to write, and fails the test
// unless there is one whose first fencing token is token.
func requireMembership(t *testing.T, view View, token uint64, when string) *Record {
	t.Helper()
	record := Decide(view).WriteMembership
	if record == nil || record.FencingToken != token {
		t.Fatalf("%s: %+v, want a membership with first token %d", when, record, token)
	}
	return record
}

func TestMembershipChangeAdvancesFencingToken(t *testing.T) {
	a, b := node("a", 1), node("b", 2)
	view := View{Self: a, Sessions: map[string]Controller{"a": a, "b": b}}
	if !Decide(view).BecomeLeader {
		t.Fatal("there is no leader, but the controller does not become it")
	}
	view.Leader = &a
	record := requireMembership(t, view, 1, "first")
	if !record.Contains(a) || !record.Contains(b) {
		t.Fatalf("first membership: %+v", record)
	}
	view.Membership = record
	requireNoAction(t, view, "nothing has changed")
	// A restarted controller is a new incarnation and needs a new token, because commands
	// of its former process may still be in flight.
	view.Sessions["b"] = node("b", 3)
	record = requireMembership(t, view, 2, "after a restart")
	if !record.Contains(node("b", 3)) || record.Contains(b) {
		t.Fatalf("after a restart: %+v", record)
	}
	view.Membership = record
	delete(view.Sessions, "b")
	if record = requireMembership(t, view, 3, "after a failure"); len(record.Members) != 1 {
		t.Fatalf("after a failure: %+v", record)
	}
}

func TestMembershipStartsAfterPreviousTokenRange(t *testing.T) {
	a := node("a", 1)
	view := View{Self: a, Sessions: map[string]Controller{"a": a}, Leader: &a, AllSessionsSupportTokenRanges: true}
	first := requireMembership(t, view, 1, "first")
	if first.TokenCount != tuning.TokenRange || first.LastToken() != tuning.TokenRange {
		t.Fatalf("first membership: %+v, last token %d", first, first.LastToken())
	}
	view.Membership = first
	view.Sessions["b"] = node("b", 2)
	second := requireMembership(t, view, tuning.TokenRange+1, "after a join")
	if !second.ImmediatelyFollows(first) || first.ImmediatelyFollows(second) || second.ImmediatelyFollows(second) {
		t.Fatalf("%+v must follow only %+v", second, first)
	}
	// A controller whose version does not support token ranges has a session.
	view.Membership, view.AllSessionsSupportTokenRanges = second, false
	view.Sessions["c"] = node("c", 3)
	third := requireMembership(t, view, 2*tuning.TokenRange+1, "after an older version's join")
	if third.TokenCount != 0 || third.LastToken() != third.FencingToken || !third.ImmediatelyFollows(second) || third.ImmediatelyFollows(first) {
		t.Fatalf("third membership: %+v", third)
	}
}

func TestOnlyLeaderWritesMembership(t *testing.T) {
	a, b := node("a", 1), node("b", 2)
	requireNoAction(t, View{Self: b, Sessions: map[string]Controller{"a": a, "b": b}, Leader: &a}, "a follower")
}

func TestRestartedLeaderTakesOverOnceItsSessionIsStored(t *testing.T) {
	a, b := node("a", 1), node("b", 2)
	view := View{Self: node("a", 5), Sessions: map[string]Controller{"a": a, "b": b}, Leader: &a}
	requireNoAction(t, view, "a controller without a stored session")
	view.Sessions["a"] = view.Self
	if !Decide(view).BecomeLeader {
		t.Fatal("a restarted leader waits for its former lease to expire")
	}
}
