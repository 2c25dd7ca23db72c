package controller

import (
	"wheatspur/internal/logging"
	"wheatspur/internal/membership"
	"wheatspur/wire"
)

func (n *Controller) applyMembership(v wire.Raw) error {
	if v == nil {
		n.Membership = nil
		return nil
	}
	var r membership.Record
	if err := wire.Unmarshal(v, &r); err != nil {
		return err
	}
	last := n.Membership
	n.SetMembership(&r)
	clear(n.Peers.PublishedMachines)
	n.Workers.ApplyMembership(last)
	n.MachineIndex.Reset()
	n.Peers.UpdateBudgetShare()
	n.Log.Info(logging.EventMembershipChanged, logging.KeyToken, r.FencingToken, logging.KeyLeader, r.Leader.Label, logging.KeyMembers, len(r.Nodes))
	return nil
}
