package quota

import "testing"

// The leader's claim on a machine of its own gets no answer and is applied after
// all; before its watch shows that, its own next write changes the record, which
// the first compares. The first claim still counts. Guards against two claims
// in a share of one.
func TestUncertainAdmissionCountsUntilItsClaimIsRead(t *testing.T) {
	m := newSharedModel(t, 4, "a", "b", "c") // a leads and has two, the others one
	lost := m.mustAdmit(t, "a", 0)
	handOver := m.mustAdmit(t, "a", 1) // b's machine
	m.loseResponse(lost, false)
	m.applyWrite(lost)
	m.deliver(handOver)
	m.tryAdmit("a", 0)
	if m.violation != nil {
		t.Fatal(m.violation)
	}
	// Once it is read, nothing is uncertain any more.
	m.converge()
	if _, uncertain := m.controllers["a"].manager.Ledger("x").Pending(); !uncertain.IsZero() {
		t.Fatalf("%+v stays uncertain", uncertain)
	}
}

// Two controllers admit the last free unit in the same instant: the former leader
// and the next one. Whichever write comes first, one unit is claimed.
func TestLastUnitIsAdmittedOnceAcrossFailover(t *testing.T) {
	for _, c := range []struct {
		name              string
		formerLeaderFirst bool
	}{
		{"the former leader's write comes first", true},
		{"the next leader's write comes first", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := newSharedModel(t, 1, "a", "b")
			former := m.mustAdmit(t, "a", 0)
			m.setMembership([]string{"a", "b"}, "b")
			leader := m.controllers["b"]
			leader.readTo(m.log, len(m.log))
			m.deliver(m.rebalance(leader, onePendingUnit, false))
			next := m.mustAdmit(t, "b", 1)
			writes := []*write{next, former}
			if c.formerLeaderFirst {
				writes = []*write{former, next}
			}
			for _, w := range writes {
				m.deliver(w)
			}
			if len(m.claims) != 1 || m.violation != nil {
				t.Fatalf("%d claims, %v", len(m.claims), m.violation)
			}
		})
	}
}
