package membership

import (
	"fmt"
	"testing"
	"time"
)

func n(label string, inc uint64) Node { return Node{label, inc} }

func TestEveryChangeOfTheNodesRaisesTheBaton(t *testing.T) {
	a, b := n("a", 1), n("b", 2)
	v := View{Self: a, Sessions: map[string]Node{"a": a, "b": b}}
	if !Decide(v).BecomeLeader {
		t.Fatal("nobody leads and the lead is not taken")
	}
	v.Leader = &a
	rec := Decide(v).WriteMembership
	if rec == nil || rec.FencingToken != 1 || !rec.Contains(a) || !rec.Contains(b) {
		t.Fatalf("first membership: %+v", rec)
	}
	v.Membership = rec
	if act := Decide(v); act.BecomeLeader || act.WriteMembership != nil {
		t.Fatalf("nothing changed but %+v", act)
	}
	// A restarted node is another incarnation: its former process may have
	// commands under way.
	v.Sessions["b"] = n("b", 3)
	rec = Decide(v).WriteMembership
	if rec == nil || rec.FencingToken != 2 || !rec.Contains(n("b", 3)) || rec.Contains(b) {
		t.Fatalf("after a restart: %+v", rec)
	}
	v.Membership = rec
	delete(v.Sessions, "b")
	if rec = Decide(v).WriteMembership; rec == nil || rec.FencingToken != 3 || len(rec.Nodes) != 1 {
		t.Fatalf("after a death: %+v", rec)
	}
}

func TestOnlyTheLeaderWritesAndARestartedLeaderTakesOverAtOnce(t *testing.T) {
	a, b := n("a", 1), n("b", 2)
	v := View{Self: b, Sessions: map[string]Node{"a": a, "b": b}, Leader: &a}
	if act := Decide(v); act.BecomeLeader || act.WriteMembership != nil {
		t.Fatalf("a follower acts: %+v", act)
	}
	v.Self = n("a", 5)
	if act := Decide(v); act.BecomeLeader {
		t.Fatal("a node without a stored session takes the lead")
	}
	v.Sessions["a"] = v.Self
	if !Decide(v).BecomeLeader {
		t.Fatal("a restarted leader waits for its former lease")
	}
}

func TestOwnersAreEvenAndMoveOnlyWithTheirNode(t *testing.T) {
	three := Record{Nodes: []Node{n("a", 1), n("b", 2), n("c", 3)}}
	two := Record{Nodes: three.Nodes[:2]}
	count := map[string]int{}
	for i := range 300 {
		host := fmt.Sprintf("host-%06d", i)
		o := three.Owner(host)
		count[o]++
		if three.RankNodes(host)[0] != o {
			t.Fatalf("%s: order and owner differ", host)
		}
		if p := two.Owner(host); o != "c" && p != o {
			t.Fatalf("%s moved from %s to %s though its owner lives", host, o, p)
		}
	}
	for l, k := range count {
		if k < 70 || k > 130 {
			t.Errorf("%s owns %d of 300", l, k)
		}
	}
}

func TestSessionStates(t *testing.T) {
	s := NoLease
	for _, step := range []struct {
		e    SessionEvent
		want SessionState
	}{{SessionStored, NoLease}, {LeaseGranted, Leased}, {SessionStored, Registered}, {LeaseGranted, Registered}, {LeaseExpired, NoLease}} {
		if s = s.Next(step.e); s != step.want {
			t.Fatalf("after %s: %s, want %s", step.e, s, step.want)
		}
	}
}

// A node that was cut from the workers alone kept its machines: their workers
// were sent back to it by its siblings until their leases ran out.
func TestADeafNodeOwnsNothingUntilItHearsAgain(t *testing.T) {
	if (Reachability{Silent: 1, SiblingsReachable: true}).NextUnreachable() || (Reachability{Silent: 5}).NextUnreachable() || (Reachability{Silent: 5, Heard: 1, SiblingsReachable: true}).NextUnreachable() {
		t.Fatal("unreachable without evidence")
	}
	if !(Reachability{Silent: 2, SiblingsReachable: true}).NextUnreachable() || !(Reachability{Unreachable: true}).NextUnreachable() || (Reachability{Unreachable: true, Answered: true}).NextUnreachable() {
		t.Fatal("an unreachable node is not noticed, or does not end")
	}
	a, b := n("a", 1), n("b", 2)
	v := View{Self: a, Sessions: map[string]Node{"a": a, "b": b}, Leader: &a}
	v.Membership = Decide(v).WriteMembership
	v.Unreachable = map[string]bool{"b": true}
	rec := Decide(v).WriteMembership
	if rec == nil || rec.FencingToken != v.Membership.FencingToken+1 || !rec.Contains(b) {
		t.Fatalf("%+v", rec)
	}
	for i := range 50 {
		if o := rec.Owner(fmt.Sprint("host-", i)); o != "a" {
			t.Fatalf("a machine is owned by %s", o)
		}
	}
	v.Membership = rec
	if act := Decide(v); act.WriteMembership != nil {
		t.Fatalf("written again: %+v", act.WriteMembership)
	}
	v.Unreachable["a"] = true
	if rec = Decide(v).WriteMembership; rec == nil || len(rec.Unreachable) != 0 {
		t.Fatalf("all are unreachable and %+v", rec)
	}
}

// Each sibling has to attest, in the incarnation that it had before the last
// read, and for nothing that is not in the cache.
func TestCancellationsAreKnownAsFarAsAllVouch(t *testing.T) {
	at := func(s int) time.Time { return time.Unix(int64(1000+s), 0) }
	good := func(asked int) Attestation {
		return Attestation{Incarnation: 7, Since: at(0), AskedAt: at(asked), LastCancellation: 40}
	}
	with := func(w Attestation, f func(*Attestation)) Attestation { f(&w); return w }
	for _, c := range []struct {
		name     string
		siblings []Attestation
		want     int
	}{
		{"nobody else", nil, 10},
		{"all attest: the least of the askings", []Attestation{good(50), good(30)}, 30},
		{"one was never heard", []Attestation{good(50), {}}, 10},
		{"one is new since the read", []Attestation{good(50), with(good(50), func(w *Attestation) { w.Since = at(10) })}, 10},
		{"one knows a cancellation that is not in the cache", []Attestation{good(50), with(good(50), func(w *Attestation) { w.LastCancellation = 51 })}, 10},
		{"the last that is", []Attestation{good(50), with(good(50), func(w *Attestation) { w.LastCancellation = 50 })}, 50},
		{"asked before the read", []Attestation{good(50), good(5)}, 10},
	} {
		if got := CancellationsKnownUntil(at(10), 50, c.siblings); !got.Equal(at(c.want)) {
			t.Errorf("%s: %v, want %v", c.name, got.Sub(at(0)), c.want)
		}
	}
	w := Attestation{}.Update(7, 40, at(1), at(2)).Update(7, 30, at(0), at(3))
	if w != (Attestation{7, at(2), at(1), 40}) {
		t.Errorf("an older answer took something back: %+v", w)
	}
	if w = w.Update(8, 0, at(4), at(5)); w != (Attestation{8, at(5), at(4), 0}) {
		t.Errorf("a new incarnation: %+v", w)
	}
}
