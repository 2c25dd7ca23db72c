package membership

import (
	"fmt"
	"testing"
)

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
