package roles

import "wheatspur/internal/tuning"

// infiniteLoadThreshold is larger than any load of a role that has machines. The load of a role
// with demand but no machines is infinite.
const infiniteLoadThreshold = 1e300

// propose returns the adjacent split that is eligible, or the gate that blocks it. If both
// directions are blocked, the gate of the move to batch is returned unless it is GateNoGain.
func (b *Balancer) propose(s Split) (Proposal, Gate) {
	if p := proposeFloor(s); p.Direction != None {
		return p, GateOpen
	}
	current := s.loads(b.settings, s.Batch, s.Service)
	p, gate := b.proposeToService(s, current)
	if p.Direction != None {
		return p, GateOpen
	}
	p, toBatchGate := b.proposeToBatch(s, current)
	if p.Direction != None {
		return p, GateOpen
	}
	if toBatchGate != GateNoGain {
		gate = toBatchGate
	}
	return Proposal{}, gate
}

// proposeFloor proposes to move a machine to a role that is below its floor, if the other role has
// machines to spare. The batch role gets one only while batch work is queued.
func proposeFloor(s Split) Proposal {
	switch {
	case s.Batch+s.Service < 2*tuning.RoleFloor:
	case s.Service+s.ServiceBooting < tuning.RoleFloor && s.Batch > tuning.RoleFloor:
		return s.adjacentProposal(ToService, RuleFloor)
	case s.Batch+s.BatchBooting+s.Spot < tuning.RoleFloor && s.Service > tuning.RoleFloor && s.QueuedBatchSeconds > 0:
		return s.adjacentProposal(ToBatch, RuleFloor)
	}
	return Proposal{}
}

// proposeToService proposes to move a batch machine if this lowers the worse load of the two roles
// by at least RoleMargin and leaves the batch role with a load of at most RoleShrink.
func (b *Balancer) proposeToService(s Split, current loads) (Proposal, Gate) {
	if s.Batch == 0 || s.Batch+s.Spot <= tuning.RoleFloor {
		if current.service > current.batch {
			return Proposal{}, GateAtFloor
		}
		return Proposal{}, GateNoGain
	}
	next := s.loads(b.settings, s.Batch-1, s.Service+1)
	switch {
	case worstLoadDrop(current, next) < b.settings.RoleMargin:
		return Proposal{}, GateNoGain
	case next.batch <= b.settings.RoleShrink:
		return s.adjacentProposal(ToService, RuleConsolidate), GateOpen
	}
	return Proposal{}, GateSourceBusy
}

// proposeToBatch proposes to move a service machine if this lowers the worse load of the two roles
// by at least RoleMargin and either leaves the service role with a load of at most RoleShrink or
// the batch load is at least RoleExpand, that is, batch work waits too long.
func (b *Balancer) proposeToBatch(s Split, current loads) (Proposal, Gate) {
	if s.Service <= tuning.RoleFloor {
		if current.batch > current.service {
			return Proposal{}, GateAtFloor
		}
		return Proposal{}, GateNoGain
	}
	next := s.loads(b.settings, s.Batch+1, s.Service-1)
	switch {
	case worstLoadDrop(current, next) < b.settings.RoleMargin:
		return Proposal{}, GateNoGain
	case next.service <= b.settings.RoleShrink:
		return s.adjacentProposal(ToBatch, RuleConsolidate), GateOpen
	case current.batch >= b.settings.RoleExpand:
		return s.adjacentProposal(ToBatch, RuleMixedPressure), GateOpen
	}
	return Proposal{}, GateSourceBusy
}

// worstLoadDrop returns by how much the worse load of the two roles falls. A drop from an infinite
// load counts as infiniteLoadThreshold.
func worstLoadDrop(current, next loads) float64 {
	switch {
	case current.worst() > infiniteLoadThreshold && next.worst() > infiniteLoadThreshold:
		return 0
	case current.worst() > infiniteLoadThreshold:
		return infiniteLoadThreshold
	}
	return current.worst() - next.worst()
}
