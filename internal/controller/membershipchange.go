package controller

import (
	"wheatspur/internal/logging"
	"wheatspur/internal/membership"
	"wheatspur/wire"
)

// applyMembership enters the stored membership, and lets the components drop what
// followed from the last one: published machines, workers of other shards, the index
// that placement starts from, the share of the store's budget. The lock is held.
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
	c.Peers.UpdateBudgetShare()
	c.Log.Info(logging.EventMembershipChanged, logging.KeyToken, record.FencingToken, logging.KeyLeader, record.Leader.Label, logging.KeyMembers, len(record.Nodes))
	return nil
}
