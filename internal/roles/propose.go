package roles

import "wheatspur/internal/tuning"

// infiniteLoadThreshold is beyond every load of a role that has machines.
const infiniteLoadThreshold = 1e300

// propose finds the eligible adjacent split, or the gate that stops it: the one of
// the move to batch if both directions have one.
func (b *Balancer) propose(s Split) (Proposal, Gate) {
	if p := proposeFloor(s); p.Direction != None {
		return p, Open
	}
	current := s.loads(b.settings, s.Batch, s.Service)
	p, gate := b.proposeToService(s, current)
	if p.Direction != None {
		return p, Open
	}
	p, toBatchGate := b.proposeToBatch(s, current)
	if p.Direction != None {
		return p, Open
	}
	if toBatchGate != NoGain {
		gate = toBatchGate
	}
	return Proposal{}, gate
}

// proposeFloor restores a role without a machine, if the other one has machines to
// spare.
func proposeFloor(s Split) Proposal {
	switch {
	case s.Batch+s.Service < 2*tuning.RoleFloor:
	case s.Service+s.ServiceComing < tuning.RoleFloor && s.Batch > tuning.RoleFloor:
		return s.adjacentProposal(ToService, Floor)
	case s.Batch+s.BatchComing+s.Spot < tuning.RoleFloor && s.Service > tuning.RoleFloor && s.BatchWork > 0:
		return s.adjacentProposal(ToBatch, Floor)
	}
	return Proposal{}
}

// proposeToService moves a batch machine if the worst load falls by the margin, and
// what is left of the batch role is lightly loaded.
func (b *Balancer) proposeToService(s Split, current loads) (Proposal, Gate) {
	if s.Batch == 0 || s.Batch+s.Spot <= tuning.RoleFloor {
		if current.service > current.batch {
			return Proposal{}, AtFloor
		}
		return Proposal{}, NoGain
	}
	next := s.loads(b.settings, s.Batch-1, s.Service+1)
	switch {
	case worstLoadDrop(current, next) < b.settings.RoleMargin:
		return Proposal{}, NoGain
	case next.batch <= b.settings.RoleShrink:
		return s.adjacentProposal(ToService, Consolidate), Open
	}
	return Proposal{}, SourceBusy
}

// proposeToBatch moves a service machine if the worst load falls by the margin, and
// what is left of the service role is lightly loaded or batch work waits too long.
func (b *Balancer) proposeToBatch(s Split, current loads) (Proposal, Gate) {
	if s.Service <= tuning.RoleFloor {
		if current.batch > current.service {
			return Proposal{}, AtFloor
		}
		return Proposal{}, NoGain
	}
	next := s.loads(b.settings, s.Batch+1, s.Service-1)
	switch {
	case worstLoadDrop(current, next) < b.settings.RoleMargin:
		return Proposal{}, NoGain
	case next.service <= b.settings.RoleShrink:
		return s.adjacentProposal(ToBatch, Consolidate), Open
	case current.batch >= b.settings.RoleExpand:
		return s.adjacentProposal(ToBatch, Mixed), Open
	}
	return Proposal{}, SourceBusy
}

// worstLoadDrop is how much the worst load falls; a load without machines is
// endless.
func worstLoadDrop(current, next loads) float64 {
	switch {
	case current.worst() > infiniteLoadThreshold && next.worst() > infiniteLoadThreshold:
		return 0
	case current.worst() > infiniteLoadThreshold:
		return infiniteLoadThreshold
	}
	return current.worst() - next.worst()
}
