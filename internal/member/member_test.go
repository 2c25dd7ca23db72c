package member

import (
	"fmt"
	"testing"
)

func n(label string, inc uint64) Node { return Node{label, inc} }

func TestEveryChangeOfTheNodesRaisesTheBaton(t *testing.T) {
	a, b := n("a", 1), n("b", 2)
	v := View{Self: a, Sessions: map[string]Node{"a": a, "b": b}}
	if !Decide(v).TakeLead {
		t.Fatal("nobody leads and the lead is not taken")
	}
	v.Lead = &a
	rec := Decide(v).Write
	if rec == nil || rec.Baton != 1 || !rec.Has(a) || !rec.Has(b) {
		t.Fatalf("first membership: %+v", rec)
	}
	v.Member = rec
	if act := Decide(v); act.TakeLead || act.Write != nil {
		t.Fatalf("nothing changed but %+v", act)
	}
	// A restarted node is another incarnation: its former process may have
	// commands under way.
	v.Sessions["b"] = n("b", 3)
	rec = Decide(v).Write
	if rec == nil || rec.Baton != 2 || !rec.Has(n("b", 3)) || rec.Has(b) {
		t.Fatalf("after a restart: %+v", rec)
	}
	v.Member = rec
	delete(v.Sessions, "b")
	if rec = Decide(v).Write; rec == nil || rec.Baton != 3 || len(rec.Nodes) != 1 {
		t.Fatalf("after a death: %+v", rec)
	}
}

func TestOnlyTheLeaderWritesAndARestartedLeaderTakesOverAtOnce(t *testing.T) {
	a, b := n("a", 1), n("b", 2)
	v := View{Self: b, Sessions: map[string]Node{"a": a, "b": b}, Lead: &a}
	if act := Decide(v); act.TakeLead || act.Write != nil {
		t.Fatalf("a follower acts: %+v", act)
	}
	v.Self = n("a", 5)
	if act := Decide(v); act.TakeLead {
		t.Fatal("a node without a stored session takes the lead")
	}
	v.Sessions["a"] = v.Self
	if !Decide(v).TakeLead {
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
		if three.Order(host)[0] != o {
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
	}{{Stored, NoLease}, {GotLease, Leased}, {Stored, Registered}, {GotLease, Registered}, {LeaseEnded, NoLease}} {
		if s = s.Next(step.e); s != step.want {
			t.Fatalf("after %s: %s, want %s", step.e, s, step.want)
		}
	}
}

// A node that was cut from the workers alone kept its machines: their workers
// were sent back to it by its siblings until their leases ran out.
func TestADeafNodeOwnsNothingUntilItHearsAgain(t *testing.T) {
	if (Ears{Silent: 1, SiblingsHear: true}).Next() || (Ears{Silent: 5}).Next() || (Ears{Silent: 5, Heard: 1, SiblingsHear: true}).Next() {
		t.Fatal("deaf without evidence")
	}
	if !(Ears{Silent: 2, SiblingsHear: true}).Next() || !(Ears{Deaf: true}).Next() || (Ears{Deaf: true, Answered: true}).Next() {
		t.Fatal("deafness is not noticed, or does not end")
	}
	a, b := n("a", 1), n("b", 2)
	v := View{Self: a, Sessions: map[string]Node{"a": a, "b": b}, Lead: &a}
	v.Member = Decide(v).Write
	v.Deaf = map[string]bool{"b": true}
	rec := Decide(v).Write
	if rec == nil || rec.Baton != v.Member.Baton+1 || !rec.Has(b) {
		t.Fatalf("%+v", rec)
	}
	for i := range 50 {
		if o := rec.Owner(fmt.Sprint("host-", i)); o != "a" {
			t.Fatalf("a machine is owned by %s", o)
		}
	}
	v.Member = rec
	if act := Decide(v); act.Write != nil {
		t.Fatalf("written again: %+v", act.Write)
	}
	v.Deaf["a"] = true
	if rec = Decide(v).Write; rec == nil || len(rec.Deaf) != 0 {
		t.Fatalf("all are deaf and %+v", rec)
	}
}
