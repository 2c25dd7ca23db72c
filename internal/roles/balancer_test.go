package roles

import (
	"testing"
	"time"

	"wheatspur/internal/config"
	"wheatspur/internal/tuning"
)

var start = time.Unix(1000, 0)

// fits and doesNotFit stand in for the check whether a machine's tasks have room on the others.
func fits() bool       { return true }
func doesNotFit() bool { return false }

// harness runs a Balancer on a simulated clock.
type harness struct {
	*Balancer
	now time.Time
}

func newHarness(settings config.OperatorSettings) *harness {
	return &harness{Balancer: New(settings, start), now: start}
}

// evaluate evaluates a split the given number of times, RoleStep apart, and returns the last
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
	h := newHarness(config.DefaultOperatorSettings())
	s := Split{Batch: 4, Service: 2, ServiceDemand: 2, DemandComplete: true}
	if d := h.evaluate(2, s, fits); d.Move != None || d.Gate != GateConfirm {
		t.Fatalf("not waiting for confirmations after two evaluations: %+v", d)
	}
	if d := h.evaluate(1, s, fits); d.Move != ToService || d.Proposal.Rule != RuleConsolidate {
		t.Fatalf("no move after three confirmations: %+v", d)
	}
	// The next move waits for both the confirmations and the cooldown.
	s.Batch, s.Service, s.ServiceDemand = 3, 3, 3
	h.lastMoveToService = h.now.Add(3*tuning.RoleStep - tuning.RoleCooldown + time.Second)
	if d := h.evaluate(3, s, fits); d.Move != None || d.Gate != GateCooldown {
		t.Fatalf("moved during the cooldown: %+v", d)
	}
}

func TestDifferentProposalResetsConfirmations(t *testing.T) {
	s := Split{Batch: 4, Service: 2, ServiceDemand: 2, DemandComplete: true}
	for _, c := range []struct {
		name  string
		other Split
	}{
		{"different split", Split{Batch: 5, Service: 2, ServiceDemand: 2, DemandComplete: true}},
		{"different completeness", Split{Batch: 4, Service: 2, ServiceDemand: 2}},
		{"no eligible split", Split{Batch: 4, Service: 2, ServiceDemand: 0.1, DemandComplete: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(config.DefaultOperatorSettings())
			h.evaluate(2, s, fits)
			if d := h.evaluate(1, c.other, fits); d.Move != None {
				t.Fatal("moved on the first different proposal")
			}
			if d := h.evaluate(2, s, fits); d.Move != None {
				t.Fatal("the confirmations were not reset")
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
		{"batch load would be left above 0.5", Split{Batch: 2, Service: 2, ServiceDemand: 2, QueuedBatchSeconds: 0.6 * tuning.RoleStartTarget.Seconds(), DemandComplete: true}, GateSourceBusy},
		{"the worst load falls from 0.80 to 0.78", Split{Batch: 20, Service: 40, ServiceDemand: 25.6, DemandComplete: true}, GateNoGain},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := newHarness(config.DefaultOperatorSettings()).evaluate(5, c.split, fits)
			if d.Proposal.Direction != None || d.Gate != c.want {
				t.Fatalf("got %+v, want no proposal and gate %s", d, c.want)
			}
		})
	}
}

func TestMoveToBatchRequiresEvidenceStableDemandAndRoom(t *testing.T) {
	s := Split{Batch: 2, Service: 6, ServiceDemand: 1, QueuedBatchSeconds: 3 * tuning.RoleStartTarget.Seconds(), DemandComplete: true}
	t.Run("enough arrivals, then room", func(t *testing.T) {
		h := newHarness(config.DefaultOperatorSettings())
		if d := h.evaluate(3, s, fits); d.Gate != GateEvidence {
			t.Fatalf("not blocked by the open evidence window: %+v", d)
		}
		for range tuning.RoleEvidenceArrivals {
			h.RecordArrival(start.Add(time.Second), 0.1)
		}
		if d := h.evaluate(1, s, doesNotFit); d.Gate != GateNoRoom {
			t.Fatalf("after ten arrivals and 20 s the window is still open, or the room check was skipped: %+v", d)
		}
		if d := h.evaluate(1, s, fits); d.Move != ToBatch {
			t.Fatalf("no move with the evidence window closed and room elsewhere: %+v", d)
		}
	})
	t.Run("too few arrivals", func(t *testing.T) {
		h := newHarness(config.DefaultOperatorSettings())
		if d := h.evaluate(7, s, fits); d.Gate != GateEvidence {
			t.Fatalf("with few arrivals the window closed before 40 s: %+v", d)
		}
		if d := h.evaluate(1, s, fits); d.Move != ToBatch {
			t.Fatalf("with few arrivals the window did not close at 40 s: %+v", d)
		}
	})
	t.Run("rising service demand", func(t *testing.T) {
		h := newHarness(config.DefaultOperatorSettings())
		h.now = start.Add(3 * time.Minute)
		for range 2 * tuning.RoleEvidenceArrivals {
			h.RecordArrival(h.now.Add(14*time.Second), 1)
		}
		if d := h.evaluate(3, s, fits); d.Gate != GateRising {
			t.Fatalf("rising demand did not block the move: %+v", d)
		}
	})
}

func TestMixedPressureMovesMachineWhileServiceStaysLoaded(t *testing.T) {
	s := Split{Batch: 1, Service: 4, ServiceDemand: 2, QueuedBatchSeconds: 4 * tuning.RoleStartTarget.Seconds(), DemandComplete: true}
	if d := newHarness(config.DefaultOperatorSettings()).evaluate(8, s, fits); d.Move != ToBatch || d.Proposal.Rule != RuleMixedPressure {
		t.Fatalf("no mixed-pressure move at batch load 4 and service load 0.63: %+v", d)
	}
}

func TestRoleFloor(t *testing.T) {
	t.Run("the last batch machine stays", func(t *testing.T) {
		s := Split{Batch: 1, Service: 2, ServiceDemand: 4, DemandComplete: true}
		if d := newHarness(config.DefaultOperatorSettings()).evaluate(6, s, fits); d.Move != None || d.Gate != GateAtFloor {
			t.Fatalf("the last batch machine moved: %+v", d)
		}
	})
	t.Run("an empty role gets a machine immediately", func(t *testing.T) {
		h := newHarness(config.DefaultOperatorSettings())
		h.evaluate(6, Split{Batch: 1, Service: 2, ServiceDemand: 4, DemandComplete: true}, fits)
		s := Split{Batch: 3, Service: 0, ServiceDemand: 0.1, DemandComplete: true}
		if d := h.evaluate(1, s, fits); d.Move != ToService || d.Proposal.Rule != RuleFloor {
			t.Fatalf("the empty service role got no machine: %+v", d)
		}
	})
	// A service machine was moved for the batch floor while a batch machine that had been scaled
	// out for the floor was still booting.
	t.Run("a booting batch machine counts toward the floor", func(t *testing.T) {
		s := Split{Batch: 0, BatchBooting: 1, Service: 3, ServiceDemand: 2.4, QueuedBatchSeconds: 10, DemandComplete: true}
		if d := newHarness(config.DefaultOperatorSettings()).evaluate(1, s, fits); d.Move != None || d.Proposal.Rule == RuleFloor {
			t.Fatalf("a service machine was moved while a batch machine was booting: %+v", d)
		}
	})
}

func TestSpotMachinesCountTowardBatchFloor(t *testing.T) {
	h := newHarness(config.DefaultOperatorSettings())
	s := Split{Batch: 0, Spot: 1, Service: 3, ServiceDemand: 2.4, QueuedBatchSeconds: 1, DemandComplete: true}
	if d := h.evaluate(1, s, fits); d.Move != None {
		t.Fatalf("a service machine was moved although a spot machine meets the batch floor: %+v", d)
	}
	s = Split{Batch: 1, Spot: 2, Service: 2, ServiceDemand: 2, DemandComplete: true}
	if d := h.evaluate(3, s, fits); d.Move != ToService {
		t.Fatalf("the last on-demand batch machine did not move although spot machines meet the floor: %+v", d)
	}
	s = Split{Batch: 1, Service: 2, ServiceDemand: 2, DemandComplete: true}
	if d := h.evaluate(6, s, fits); d.Move != None || d.Gate != GateAtFloor {
		t.Fatalf("the last batch machine moved without spot machines: %+v", d)
	}
}

func TestAdvisoryModeReportsProposalWithoutMoving(t *testing.T) {
	settings := config.DefaultOperatorSettings()
	settings.RoleAdvisory = true
	d := newHarness(settings).evaluate(4, Split{Batch: 4, Service: 2, ServiceDemand: 2, DemandComplete: true}, fits)
	if d.Move != None || d.Gate != GateAdvisory || d.Proposal.Direction != ToService {
		t.Fatalf("want a proposal to service blocked by advisory mode, got %+v", d)
	}
}
