package quota

import "testing"

// A transfer gets no response. The donor then admits work, which does not change the
// record, and after that the transfer is applied late. Unless the transferred amount
// counts while the outcome is unknown, the donor's claims exceed its share.
func TestUncertainTransferCountsAgainstDonor(t *testing.T) {
	m := newSharedModel(t, 4, "a", "b", "c")
	transfer := m.transfer(m.controllers["b"], "a", Amount{GPUs: 1})
	if transfer == nil || transfer.recordWrite.Transferred.GPUs != 1 {
		t.Fatalf("b transfers nothing: %+v", transfer)
	}
	if m.admit(m.controllers["b"], 1, Amount{GPUs: 1}) != nil {
		t.Fatal("b admits work while its transfer is in flight")
	}
	m.loseResponse(transfer, false)
	m.tryAdmit("b", 1)
	m.converge() // applies the transfer
	if m.violation != nil {
		t.Fatal(m.violation)
	}
	shares := m.controllers["b"].manager.Ledger("x").Record().Shares
	if sum := shares["a"].GPUs + shares["b"].GPUs + shares["c"].GPUs; sum != 4 {
		t.Fatalf("sum of the shares is %v after a late transfer, want 4: %v", sum, shares)
	}
}

// A transfer is applied completely or not at all when its donor or recipient restarts
// or temporarily leaves the membership.
func TestTransferIsAtomicAcrossRestarts(t *testing.T) {
	restart := func(label string) func(*model) { return func(m *model) { m.restart(label) } }
	changeMembership := func(m *model) {
		m.setMembership([]string{"a", "c"}, "c")
		m.setMembership([]string{"a", "b", "c"}, "b")
	}
	for _, c := range []struct {
		name    string
		arrived bool // whether the write is applied before the interruption
		during  func(*model)
	}{
		{"the recipient restarts before the write arrives", false, restart("a")},
		{"the recipient restarts after the write arrives", true, restart("a")},
		{"the donor restarts before the write arrives", false, restart("b")},
		{"the donor restarts after the write arrives", true, restart("b")},
		{"the membership changes before the write arrives", false, changeMembership},
		{"the membership changes after the write arrives", true, changeMembership},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := newSharedModel(t, 4, "a", "b", "c")
			m.transfer(m.controllers["b"], "a", Amount{GPUs: 1})
			if c.arrived {
				m.deliver(m.inFlight[0])
			}
			c.during(m)
			m.converge()
			for machine, label := range []string{"a", "b", "c", "a", "b", "c", "a"} {
				for n := m.controllers[label]; ; m.converge() {
					w := m.admit(n, machine, Amount{GPUs: 1})
					if w == nil {
						break
					}
					m.deliver(w)
				}
			}
			if len(m.claims) != 4 || m.violation != nil {
				t.Errorf("%d claims, want 4; violation: %v", len(m.claims), m.violation)
			}
		})
	}
}

// Only the controller that covers the largest part of the shortfall makes a transfer,
// and it transfers no more than it has left.
func TestTransferDonorAndAmount(t *testing.T) {
	m := newSharedModel(t, 8, "a", "b", "c") // a has a share of four, b and c of two
	m.deliver(m.mustAdmit(t, "c", 2))
	m.readAll()
	if w := m.transfer(m.controllers["c"], "a", Amount{GPUs: 2}); w != nil {
		t.Errorf("c transfers %+v although b has more left", w.recordWrite.Transferred)
	}
	if w := m.transfer(m.controllers["a"], "a", Amount{GPUs: 2}); w != nil {
		t.Error("a transfers to itself")
	}
	m.unused = Amount{GPUs: 1.5}
	if w := m.transfer(m.controllers["b"], "a", Amount{GPUs: 9}); w == nil || w.recordWrite.Transferred.GPUs != 1.5 {
		t.Errorf("b, with 1.5 unused, transfers %+v", w)
	}
}

func TestTransferIsCappedByShortfall(t *testing.T) {
	m := newSharedModel(t, 8, "a", "b", "c") // a has a share of four, b and c of two
	if w := m.transfer(m.controllers["b"], "a", Amount{GPUs: 0.5}); w == nil || w.recordWrite.Transferred.GPUs != 0.5 {
		t.Errorf("b, with a shortfall of 0.5 to cover, transfers %+v", w)
	}
}
