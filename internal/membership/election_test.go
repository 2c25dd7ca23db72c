package membership

import (
	"testing"

	"wheatspur/internal/tuning"
	"wheatspur/wire"
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
// unless there is one whose first fencing token is token and that has a whole range of them.
func requireMembership(t *testing.T, view View, token uint64, when string) *Record {
	t.Helper()
	record := Decide(view).WriteMembership
	if record == nil || record.FirstToken() != token || record.FencingToken != token+tuning.TokenRange-1 || record.LastToken() != record.FencingToken {
		t.Fatalf("%s: %+v, want a membership with %d tokens from %d on", when, record, tuning.TokenRange, token)
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
	record = requireMembership(t, view, tuning.TokenRange+1, "after a restart")
	if !record.Contains(node("b", 3)) || record.Contains(b) {
		t.Fatalf("after a restart: %+v", record)
	}
	view.Membership = record
	delete(view.Sessions, "b")
	if record = requireMembership(t, view, 2*tuning.TokenRange+1, "after a failure"); len(record.Members) != 1 {
		t.Fatalf("after a failure: %+v", record)
	}
}

func TestMembershipStartsAfterPreviousTokenRange(t *testing.T) {
	a := node("a", 1)
	view := View{Self: a, Sessions: map[string]Controller{"a": a}, Leader: &a}
	first := requireMembership(t, view, 1, "first")
	view.Membership = first
	view.Sessions["b"] = node("b", 2)
	second := requireMembership(t, view, tuning.TokenRange+1, "after a join")
	if !second.ImmediatelyFollows(first) || first.ImmediatelyFollows(second) || second.ImmediatelyFollows(second) {
		t.Fatalf("%+v must follow only %+v", second, first)
	}
	// An earlier program version wrote a range that begins at the token that names the membership.
	view.Membership = &Record{FencingToken: 7, TokenCount: 100, Leader: a}
	third := requireMembership(t, view, 107, "after a membership of an earlier version")
	if !third.ImmediatelyFollows(view.Membership) {
		t.Fatalf("%+v must follow %+v", third, view.Membership)
	}
}

// Guards against a version without token ranges that takes the lead and gives its membership a token
// that the owner of a machine has already reached by raising it: commands of both would count at
// that machine, or the machine would obey nobody.
func TestVersionWithoutTokenRangesContinuesAboveTheRange(t *testing.T) {
	// The record as the version in production decodes it.
	type recordWithoutRange struct {
		FencingToken uint64       `cbor:"b"`
		Leader       Controller   `cbor:"d"`
		Members      []Controller `cbor:"n"`
	}
	a, b := node("a", 1), node("b", 2)
	view := View{Self: a, Sessions: map[string]Controller{"a": a, "b": b}, Leader: &a}
	ours := requireMembership(t, view, 1, "first")
	var known recordWithoutRange
	if err := wire.Unmarshal(wire.MustMarshal(ours), &known); err != nil {
		t.Fatal(err)
	}
	if known.FencingToken != ours.LastToken() {
		t.Fatalf("a member without token ranges commands with token %d, below the last one %d", known.FencingToken, ours.LastToken())
	}
	theirs, err := decode[Record](wire.MustMarshal(recordWithoutRange{known.FencingToken + 1, b, []Controller{a, b}}))
	if err != nil {
		t.Fatal(err)
	}
	if !theirs.ImmediatelyFollows(ours) || theirs.FirstToken() <= ours.LastToken() || theirs.FirstToken() != theirs.LastToken() {
		t.Fatalf("%+v must have one token, directly after those of %+v", theirs, ours)
	}
	view.Membership = theirs
	if next := requireMembership(t, view, theirs.LastToken()+1, "after it"); !next.ImmediatelyFollows(theirs) {
		t.Fatalf("%+v must follow %+v", next, theirs)
	}
}

// Guards against an upgrade in which a version without token ranges leads to its end: until then no
// machine's token could be raised, and every start would wait for a heartbeat.
func TestVersionWithTokenRangesTakesLeadFromOneWithout(t *testing.T) {
	a, b := node("a", 1), node("b", 2)
	for _, c := range []struct {
		name string
		view View
		want bool
	}{
		{"the leader has no ranges", View{Self: b, Leader: &a, LeaderLacksTokenRanges: true, MachinesAccounted: true}, true},
		{"the leader has ranges", View{Self: b, Leader: &a, MachinesAccounted: true}, false},
		{"our machines are not accounted for", View{Self: b, Leader: &a, LeaderLacksTokenRanges: true}, false},
		{"we lead", View{Self: b, Leader: &b, LeaderLacksTokenRanges: true, MachinesAccounted: true}, false},
		{"our session is not stored", View{Self: node("b", 3), Leader: &a, LeaderLacksTokenRanges: true, MachinesAccounted: true}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.view.Sessions = map[string]Controller{"a": a, "b": b}
			if got := Decide(c.view).BecomeLeader; got != c.want {
				t.Errorf("takes the lead: %v, want %v", got, c.want)
			}
		})
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
