package roles

import "wheatspur/internal/tuning"

// propose finds the eligible adjacent split, or the gate that stops it.
func (c *Controller) propose(s Split) (Proposal, Gate) {
	op := c.settings
	if s.Batch+s.Service >= 2*tuning.RoleFloor {
		if s.Service+s.ServiceComing < tuning.RoleFloor && s.Batch > tuning.RoleFloor {
			return Proposal{ToService, Floor, s.Complete, s.Batch - 1, s.Service + 1}, Open
		}
		if s.Batch+s.BatchComing+s.Spot < tuning.RoleFloor && s.Service > tuning.RoleFloor && s.BatchWork > 0 {
			return Proposal{ToBatch, Floor, s.Complete, s.Batch + 1, s.Service - 1}, Open
		}
	}
	bl, sl := s.batchLoad(s.Batch, op.RoleStartTarget), s.serviceLoad(s.Service, op.RoleUsable)
	worst := max(bl, sl)
	gate := NoGain
	if s.Batch > 0 && s.Batch+s.Spot > tuning.RoleFloor {
		nb, ns := s.batchLoad(s.Batch-1, op.RoleStartTarget), s.serviceLoad(s.Service+1, op.RoleUsable)
		if worstLoadDrop(worst, nb, ns) >= op.RoleMargin {
			if nb <= op.RoleShrink {
				return Proposal{ToService, Consolidate, s.Complete, s.Batch - 1, s.Service + 1}, Open
			}
			gate = SourceBusy
		}
	} else if sl > bl {
		gate = AtFloor
	}
	if s.Service > tuning.RoleFloor {
		nb, ns := s.batchLoad(s.Batch+1, op.RoleStartTarget), s.serviceLoad(s.Service-1, op.RoleUsable)
		if worstLoadDrop(worst, nb, ns) >= op.RoleMargin {
			if ns <= op.RoleShrink {
				return Proposal{ToBatch, Consolidate, s.Complete, s.Batch + 1, s.Service - 1}, Open
			}
			if bl >= op.RoleExpand {
				return Proposal{ToBatch, Mixed, s.Complete, s.Batch + 1, s.Service - 1}, Open
			}
			gate = SourceBusy
		}
	} else if bl > sl {
		gate = AtFloor
	}
	return Proposal{}, gate
}

// worstLoadDrop is how much the worst ratio falls; a load without machines is endless.
func worstLoadDrop(worst, nb, ns float64) float64 {
	next := max(nb, ns)
	if worst > 1e300 {
		if next > 1e300 {
			return 0
		}
		return 1e300
	}
	return worst - next
}
