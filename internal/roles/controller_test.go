package roles

import (
	"testing"
	"time"

	"wheatspur/internal/config"
	"wheatspur/internal/tuning"
)

var t0 = time.Unix(1000, 0)

func yes() bool { return true }
func no() bool  { return false }

// step evaluates n times, a step apart, and returns the last decision.
func step(c *Controller, now *time.Time, n int, s Split, fits func() bool) Decision {
	var d Decision
	for range n {
		*now = now.Add(tuning.RoleStep)
		d = c.Evaluate(*now, s, fits)
	}
	return d
}

func newController() (*Controller, *time.Time) {
	now := t0
	return New(config.DefaultOperator(), t0), &now
}

func TestBatchToServiceNeedsThreeMatchesAndCoolsDown(t *testing.T) {
	c, now := newController()
	s := Split{Batch: 4, Service: 2, ServiceBooked: 2, Complete: true}
	if d := step(c, now, 2, s, yes); d.Move != None || d.Gate != Confirm {
		t.Fatalf("moved after two matches: %+v", d)
	}
	if d := step(c, now, 1, s, yes); d.Move != ToService || d.Proposal.Rule != Consolidate {
		t.Fatalf("no move after three: %+v", d)
	}
	// The next move waits for matches and the cooldown, whichever is later.
	s.Batch, s.Service, s.ServiceBooked = 3, 3, 3
	c.lastMoveToService = now.Add(3*tuning.RoleStep - tuning.RoleCooldown + time.Second)
	if d := step(c, now, 3, s, yes); d.Move != None || d.Gate != Cooldown {
		t.Fatalf("moved during the cooldown: %+v", d)
	}
}

func TestAChangedSplitCompletenessOrRuleResetsTheCount(t *testing.T) {
	s := Split{Batch: 4, Service: 2, ServiceBooked: 2, Complete: true}
	for name, other := range map[string]Split{
		"split":        {Batch: 5, Service: 2, ServiceBooked: 2, Complete: true},
		"completeness": {Batch: 4, Service: 2, ServiceBooked: 2},
		"eligibility":  {Batch: 4, Service: 2, ServiceBooked: 0.1, Complete: true},
	} {
		c, now := newController()
		step(c, now, 2, s, yes)
		if d := step(c, now, 1, other, yes); d.Move != None {
			t.Fatalf("%s: moved at once", name)
		}
		if d := step(c, now, 2, s, yes); d.Move != None {
			t.Fatalf("%s: the count was not reset", name)
		}
		if d := step(c, now, 1, s, yes); d.Move != ToService {
			t.Fatalf("%s: no move after three matches", name)
		}
	}
}

func TestConsolidationNeedsAnIdleSourceAndTheMargin(t *testing.T) {
	c, now := newController()
	// The batch side would be left above 0.5.
	busy := Split{Batch: 2, Service: 2, ServiceBooked: 2, BatchWork: 0.6 * tuning.RoleStartTarget.Seconds(), Complete: true}
	if d := step(c, now, 5, busy, yes); d.Proposal.Direction != None || d.Gate != SourceBusy {
		t.Fatalf("a busy source: %+v", d)
	}
	small := Split{Batch: 20, Service: 40, ServiceBooked: 25.6, Complete: true} // 0.80 -> 0.78
	if d := step(c, now, 5, small, yes); d.Proposal.Direction != None || d.Gate != NoGain {
		t.Fatalf("a gain below the margin: %+v", d)
	}
}

func TestServiceToBatchWaitsForEvidenceStabilityAndRoom(t *testing.T) {
	work := 3 * tuning.RoleStartTarget.Seconds()
	s := Split{Batch: 2, Service: 6, ServiceBooked: 1, BatchWork: work, Complete: true}
	c, now := newController()
	if d := step(c, now, 3, s, yes); d.Gate != Evidence {
		t.Fatalf("moved on open evidence: %+v", d)
	}
	for range tuning.RoleEvidenceArrivals {
		c.Arrive(t0.Add(time.Second), 0.1)
	}
	if d := step(c, now, 1, s, no); d.Gate != NoRoom {
		t.Fatalf("ten arrivals and 20 s do not close the window, or room was not asked for: %+v", d)
	}
	if d := step(c, now, 1, s, yes); d.Move != ToBatch {
		t.Fatalf("no move: %+v", d)
	}

	c, now = newController()
	if d := step(c, now, 7, s, yes); d.Gate != Evidence {
		t.Fatalf("sparse evidence closed before 40 s: %+v", d)
	}
	if d := step(c, now, 1, s, yes); d.Move != ToBatch {
		t.Fatalf("sparse evidence did not close at 40 s: %+v", d)
	}

	c, now = newController()
	*now = t0.Add(3 * time.Minute)
	for range 2 * tuning.RoleEvidenceArrivals {
		c.Arrive(now.Add(14*time.Second), 1)
	}
	if d := step(c, now, 3, s, yes); d.Gate != Rising {
		t.Fatalf("rising demand did not pause the move: %+v", d)
	}
}

func TestMixedPressureMovesOneThoughServiceStaysBusy(t *testing.T) {
	s := Split{Batch: 1, Service: 4, ServiceBooked: 2, BatchWork: 4 * tuning.RoleStartTarget.Seconds(), Complete: true}
	c, now := newController()
	if d := step(c, now, 8, s, yes); d.Move != ToBatch || d.Proposal.Rule != Mixed {
		t.Fatalf("batch load 4 with services at 0.63: %+v", d)
	}
}

func TestFloorsHoldAndAreRestoredAtOnce(t *testing.T) {
	c, now := newController()
	s := Split{Batch: 1, Service: 2, ServiceBooked: 4, Complete: true}
	if d := step(c, now, 6, s, yes); d.Move != None || d.Gate != AtFloor {
		t.Fatalf("the last batch machine moved: %+v", d)
	}
	s = Split{Batch: 3, Service: 0, ServiceBooked: 0.1, Complete: true}
	if d := step(c, now, 1, s, yes); d.Move != ToService || d.Proposal.Rule != Floor {
		t.Fatalf("an empty role was not restored: %+v", d)
	}
}

// A service machine was taken for the batch floor while the batch machine that
// had been rented for it was booting.
func TestABootingMachineKeepsTheFloor(t *testing.T) {
	c, now := newController()
	s := Split{Batch: 0, BatchComing: 1, Service: 3, ServiceBooked: 2.4, BatchWork: 10, Complete: true}
	if d := step(c, now, 1, s, yes); d.Move != None || d.Proposal.Rule == Floor {
		t.Fatalf("%+v", d)
	}
}

func TestSpotMachinesKeepTheBatchFloor(t *testing.T) {
	c, now := newController()
	s := Split{Batch: 0, Spot: 1, Service: 3, ServiceBooked: 2.4, BatchWork: 1, Complete: true}
	if d := step(c, now, 1, s, yes); d.Move != None {
		t.Fatalf("a service machine was taken beside a spot machine: %+v", d)
	}
	s = Split{Batch: 1, Spot: 2, Service: 2, ServiceBooked: 2, Complete: true}
	if d := step(c, now, 3, s, yes); d.Move != ToService {
		t.Fatalf("the last ordinary batch machine beside spot ones stays: %+v", d)
	}
	s = Split{Batch: 1, Service: 2, ServiceBooked: 2, Complete: true}
	if d := step(c, now, 6, s, yes); d.Move != None || d.Gate != AtFloor {
		t.Fatalf("the last batch machine of all moved: %+v", d)
	}
}

func TestAdvisoryRecordsButMovesNothing(t *testing.T) {
	op := config.DefaultOperator()
	op.RoleAdvisory = true
	c, now := New(op, t0), t0
	d := step(c, &now, 4, Split{Batch: 4, Service: 2, ServiceBooked: 2, Complete: true}, yes)
	if d.Move != None || d.Gate != Advisory || d.Proposal.Direction != ToService {
		t.Fatalf("%+v", d)
	}
}
