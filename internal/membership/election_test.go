package membership

import "testing"

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
