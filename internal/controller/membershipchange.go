package controller

import (
	"wheatspur/internal/membership"
	"wheatspur/wire"
)

func (n *Controller) applyMembership(v wire.Raw) error {
	if v == nil {
		n.membership = nil
		return nil
	}
	var r membership.Record
	if err := wire.Unmarshal(v, &r); err != nil {
		return err
	}
	last := n.membership
	n.setMembership(&r)
	clear(n.peers.publishedMachines)
	n.workers.applyMembership(last)
	n.machineIndex.reset()
	n.peers.updateBudgetShare()
	n.log.Info("membership", "token", r.FencingToken, "leader", r.Leader.Label, "nodes", len(r.Nodes))
	return nil
}
