package quota

import "testing"

// A write of the leader gets no response and is applied anyway. Before the leader has
// read its claim, its next write changes the record, which the first write compares,
// so the first write looks like one that can no longer be applied. Its claim must
// still count, or the leader admits two claims within a share of one.
func TestUncertainAmountCountsUntilItsClaimIsRead(t *testing.T) {
	m := newSharedModel(t, 4, "a", "b", "c") // the leader a has a share of two, b and c of one
	lost := m.mustAdmit(t, "a", 0)
	handOver := m.mustAdmit(t, "a", 1) // on a machine of b
	m.loseResponse(lost, false)
	m.applyWrite(lost)
	m.deliver(handOver)
	m.tryAdmit("a", 0)
	if m.violation != nil {
		t.Fatal(m.violation)
	}
	// Once the claim is read, no admission is uncertain.
	m.converge()
	if _, uncertain := m.controllers["a"].manager.Ledger("x").UnconfirmedAmounts(); !uncertain.IsZero() {
		t.Fatalf("%+v is still uncertain", uncertain)
	}
}

// The former and the next leader admit the last free unit at the same time. Exactly
// one claim is stored, whichever write is applied first.
func TestLastUnitIsAdmittedOnceAcrossFailover(t *testing.T) {
	for _, c := range []struct {
		name              string
		formerLeaderFirst bool
	}{
		{"the former leader's write is applied first", true},
		{"the next leader's write is applied first", false},
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
				t.Fatalf("%d claims, want 1; violation: %v", len(m.claims), m.violation)
			}
		})
	}
}
