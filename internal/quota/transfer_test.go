package quota

import "testing"

// A transfer gets no answer; the giver admits on, which leaves the record as it
// is; then the transfer is applied late. Guards against claims beyond the
// giver's share: what it has offered counts while its outcome is not known.
func TestUncertainTransferCountsAgainstDonor(t *testing.T) {
	m := newSharedModel(t, 4, "a", "b", "c")
	transfer := m.transfer(m.controllers["b"], "a", Amount{GPUs: 1})
	if transfer == nil || transfer.recordWrite.Given.GPUs != 1 {
		t.Fatalf("b gives nothing: %+v", transfer)
	}
	if m.admit(m.controllers["b"], 1, Amount{GPUs: 1}) != nil {
		t.Fatal("b admits while its transfer is under way")
	}
	m.loseResponse(transfer, false)
	m.tryAdmit("b", 1)
	m.converge() // the transfer arrives
	if m.violation != nil {
		t.Fatal(m.violation)
	}
	shares := m.controllers["b"].manager.Ledger("x").Record().Shares
	if sum := shares["a"].GPUs + shares["b"].GPUs + shares["c"].GPUs; sum != 4 {
		t.Fatalf("shares of %v after a late transfer: %v", sum, shares)
	}
}

// A transfer whose giver or taker restarts, or is no member for a moment, is
// applied as a whole or not at all.
func TestTransferIsAtomicAcrossRestarts(t *testing.T) {
	restart := func(label string) func(*model) { return func(m *model) { m.restart(label) } }
	changeMembership := func(m *model) {
		m.setMembership([]string{"a", "c"}, "c")
		m.setMembership([]string{"a", "b", "c"}, "b")
	}
	for _, c := range []struct {
		name    string
		arrived bool // the write, before what interferes
		during  func(*model)
	}{
		{"the taker restarts before the write arrives", false, restart("a")},
		{"the taker restarts after the write arrives", true, restart("a")},
		{"the giver restarts before the write arrives", false, restart("b")},
		{"the giver restarts after the write arrives", true, restart("b")},
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
				t.Errorf("%d claims, %v", len(m.claims), m.violation)
			}
		})
	}
}

// Only the controller that can cover the most gives, and no more than it has left
// over.
func TestTransferDonorAndAmount(t *testing.T) {
	m := newSharedModel(t, 8, "a", "b", "c") // a has four, the others two
	m.deliver(m.mustAdmit(t, "c", 2))
	m.readAll()
	if w := m.transfer(m.controllers["c"], "a", Amount{GPUs: 2}); w != nil {
		t.Errorf("c gives %+v, though b has more", w.recordWrite.Given)
	}
	if w := m.transfer(m.controllers["a"], "a", Amount{GPUs: 2}); w != nil {
		t.Error("a gives to itself")
	}
	m.unused = Amount{GPUs: 1.5}
	if w := m.transfer(m.controllers["b"], "a", Amount{GPUs: 9}); w == nil || w.recordWrite.Given.GPUs != 1.5 {
		t.Errorf("b, with 1.5 to spare, gives %+v", w)
	}
}

func TestTransferIsCappedByShortfall(t *testing.T) {
	m := newSharedModel(t, 8, "a", "b", "c") // a has four, the others two
	if w := m.transfer(m.controllers["b"], "a", Amount{GPUs: 0.5}); w == nil || w.recordWrite.Given.GPUs != 0.5 {
		t.Errorf("b, asked for 0.5, gives %+v", w)
	}
}
