package roles

import (
	"testing"
	"time"

	"wheatspur/internal/config"
	"wheatspur/internal/tuning"
)

var start = time.Unix(1000, 0)

// fits and fitsNot answer whether a machine's tasks have room on the others.
func fits() bool       { return true }
func doesNotFit() bool { return false }

// harness is a role controller and its time.
type harness struct {
	*Balancer
	now time.Time
}

func newHarness(settings config.Operator) *harness {
	return &harness{Balancer: New(settings, start), now: start}
}

// evaluate evaluates a split so many times, a step apart, and returns the last
// decision.
func (h *harness) evaluate(times int, s Split, fits func() bool) Decision {
	var d Decision
	for range times {
		h.now = h.now.Add(tuning.RoleStep)
		d = h.Evaluate(h.now, s, fits)
	}
	return d
}

func TestMoveToServiceRequiresThreeConfirmationsAndCooldown(t *testing.T) {
	h := newHarness(config.DefaultOperator())
	s := Split{Batch: 4, Service: 2, ServiceBooked: 2, Complete: true}
	if d := h.evaluate(2, s, fits); d.Move != None || d.Gate != Confirm {
		t.Fatalf("moved after two confirmations: %+v", d)
	}
	if d := h.evaluate(1, s, fits); d.Move != ToService || d.Proposal.Rule != Consolidate {
		t.Fatalf("no move after three: %+v", d)
	}
	// The next move waits for confirmations and the cooldown, whichever is later.
	s.Batch, s.Service, s.ServiceBooked = 3, 3, 3
	h.lastMoveToService = h.now.Add(3*tuning.RoleStep - tuning.RoleCooldown + time.Second)
	if d := h.evaluate(3, s, fits); d.Move != None || d.Gate != Cooldown {
		t.Fatalf("moved during the cooldown: %+v", d)
	}
}

func TestDifferentProposalResetsConfirmations(t *testing.T) {
	s := Split{Batch: 4, Service: 2, ServiceBooked: 2, Complete: true}
	for _, c := range []struct {
		name  string
		other Split
	}{
		{"another split", Split{Batch: 5, Service: 2, ServiceBooked: 2, Complete: true}},
		{"another completeness", Split{Batch: 4, Service: 2, ServiceBooked: 2}},
		{"no eligible split", Split{Batch: 4, Service: 2, ServiceBooked: 0.1, Complete: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(config.DefaultOperator())
			h.evaluate(2, s, fits)
			if d := h.evaluate(1, c.other, fits); d.Move != None {
				t.Fatal("moved at once")
			}
			if d := h.evaluate(2, s, fits); d.Move != None {
				t.Fatal("the count was not reset")
			}
			if d := h.evaluate(1, s, fits); d.Move != ToService {
				t.Fatal("no move after three confirmations")
			}
		})
	}
}

func TestConsolidationRequiresLightlyLoadedSourceAndMargin(t *testing.T) {
	for _, c := range []struct {
		name  string
		split Split
		want  Gate
	}{
		{"batch would be left above 0.5", Split{Batch: 2, Service: 2, ServiceBooked: 2, BatchWork: 0.6 * tuning.RoleStartTarget.Seconds(), Complete: true}, SourceBusy},
		{"the worst load falls from 0.80 to 0.78", Split{Batch: 20, Service: 40, ServiceBooked: 25.6, Complete: true}, NoGain},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := newHarness(config.DefaultOperator()).evaluate(5, c.split, fits)
			if d.Proposal.Direction != None || d.Gate != c.want {
				t.Fatalf("%+v, want %s", d, c.want)
			}
		})
	}
}

func TestMoveToBatchRequiresEvidenceStableDemandAndRoom(t *testing.T) {
	s := Split{Batch: 2, Service: 6, ServiceBooked: 1, BatchWork: 3 * tuning.RoleStartTarget.Seconds(), Complete: true}
	t.Run("enough arrivals, then room", func(t *testing.T) {
		h := newHarness(config.DefaultOperator())
		if d := h.evaluate(3, s, fits); d.Gate != Evidence {
			t.Fatalf("moved on open evidence: %+v", d)
		}
		for range tuning.RoleEvidenceArrivals {
			h.Arrive(start.Add(time.Second), 0.1)
		}
		if d := h.evaluate(1, s, doesNotFit); d.Gate != NoRoom {
			t.Fatalf("ten arrivals and 20 s do not close the window, or room was not asked for: %+v", d)
		}
		if d := h.evaluate(1, s, fits); d.Move != ToBatch {
			t.Fatalf("no move: %+v", d)
		}
	})
	t.Run("sparse arrivals", func(t *testing.T) {
		h := newHarness(config.DefaultOperator())
		if d := h.evaluate(7, s, fits); d.Gate != Evidence {
			t.Fatalf("sparse evidence closed before 40 s: %+v", d)
		}
		if d := h.evaluate(1, s, fits); d.Move != ToBatch {
			t.Fatalf("sparse evidence did not close at 40 s: %+v", d)
		}
	})
	t.Run("rising service demand", func(t *testing.T) {
		h := newHarness(config.DefaultOperator())
		h.now = start.Add(3 * time.Minute)
		for range 2 * tuning.RoleEvidenceArrivals {
			h.Arrive(h.now.Add(14*time.Second), 1)
		}
		if d := h.evaluate(3, s, fits); d.Gate != Rising {
			t.Fatalf("rising demand did not pause the move: %+v", d)
		}
	})
}

func TestMixedPressureMovesMachineWhileServiceStaysLoaded(t *testing.T) {
	s := Split{Batch: 1, Service: 4, ServiceBooked: 2, BatchWork: 4 * tuning.RoleStartTarget.Seconds(), Complete: true}
	if d := newHarness(config.DefaultOperator()).evaluate(8, s, fits); d.Move != ToBatch || d.Proposal.Rule != Mixed {
		t.Fatalf("batch load 4 with services at 0.63: %+v", d)
	}
}

func TestRoleFloor(t *testing.T) {
	t.Run("the last batch machine stays", func(t *testing.T) {
		s := Split{Batch: 1, Service: 2, ServiceBooked: 4, Complete: true}
		if d := newHarness(config.DefaultOperator()).evaluate(6, s, fits); d.Move != None || d.Gate != AtFloor {
			t.Fatalf("the last batch machine moved: %+v", d)
		}
	})
	t.Run("an empty role is restored at once", func(t *testing.T) {
		h := newHarness(config.DefaultOperator())
		h.evaluate(6, Split{Batch: 1, Service: 2, ServiceBooked: 4, Complete: true}, fits)
		s := Split{Batch: 3, Service: 0, ServiceBooked: 0.1, Complete: true}
		if d := h.evaluate(1, s, fits); d.Move != ToService || d.Proposal.Rule != Floor {
			t.Fatalf("an empty role was not restored: %+v", d)
		}
	})
	// A service machine was taken for the batch floor while the batch machine that
	// had been scaled out for it was booting.
	t.Run("a booting batch machine keeps the floor", func(t *testing.T) {
		s := Split{Batch: 0, BatchComing: 1, Service: 3, ServiceBooked: 2.4, BatchWork: 10, Complete: true}
		if d := newHarness(config.DefaultOperator()).evaluate(1, s, fits); d.Move != None || d.Proposal.Rule == Floor {
			t.Fatalf("%+v", d)
		}
	})
}

func TestSpotMachinesCountTowardBatchFloor(t *testing.T) {
	h := newHarness(config.DefaultOperator())
	s := Split{Batch: 0, Spot: 1, Service: 3, ServiceBooked: 2.4, BatchWork: 1, Complete: true}
	if d := h.evaluate(1, s, fits); d.Move != None {
		t.Fatalf("a service machine was taken beside a spot machine: %+v", d)
	}
	s = Split{Batch: 1, Spot: 2, Service: 2, ServiceBooked: 2, Complete: true}
	if d := h.evaluate(3, s, fits); d.Move != ToService {
		t.Fatalf("the last on-demand batch machine beside spot ones stays: %+v", d)
	}
	s = Split{Batch: 1, Service: 2, ServiceBooked: 2, Complete: true}
	if d := h.evaluate(6, s, fits); d.Move != None || d.Gate != AtFloor {
		t.Fatalf("the last batch machine of all moved: %+v", d)
	}
}

func TestAdvisoryModeReportsProposalWithoutMoving(t *testing.T) {
	settings := config.DefaultOperator()
	settings.RoleAdvisory = true
	d := newHarness(settings).evaluate(4, Split{Batch: 4, Service: 2, ServiceBooked: 2, Complete: true}, fits)
	if d.Move != None || d.Gate != Advisory || d.Proposal.Direction != ToService {
		t.Fatalf("%+v", d)
	}
}
