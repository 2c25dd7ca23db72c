package controller

import (
	"wheatspur/internal/logging"
	"wheatspur/internal/membership"
	"wheatspur/wire"
)

// applyMembership applies the stored membership record and resets the state that was derived from
// the previous one: the machines published by peers, the workers of shards that this controller no
// longer owns, the machine index that placement uses, and this controller's share of the store's
// rate limit. The lock is held.
func (c *Controller) applyMembership(value wire.Raw) error {
	if value == nil {
		c.Membership = nil
		return nil
	}
	var record membership.Record
	if err := wire.Unmarshal(value, &record); err != nil {
		return err
	}
	previous := c.Membership
	c.SetMembership(&record)
	clear(c.Peers.PublishedMachines)
	c.Workers.ApplyMembership(previous)
	c.MachineIndex.Reset()
	c.Peers.UpdateStoreBudgetShare()
	c.Log.Info(logging.EventMembershipChanged, logging.KeyToken, record.FencingToken, logging.KeyLeader, record.Leader.Label, logging.KeyMembers, len(record.Members))
	return nil
}
