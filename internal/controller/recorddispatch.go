package controller

import (
	"strings"

	"wheatspur/internal/cluster"
	"wheatspur/internal/inventory"
	"wheatspur/internal/jobs"
	"wheatspur/internal/logging"
	"wheatspur/internal/membership"
	"wheatspur/internal/quota"
	"wheatspur/wire"
)

// applyOrLog applies a record that changed in the cache; a record that cannot be decoded is logged
// and otherwise ignored. The lock is held.
func (c *Controller) applyOrLog(key string, value wire.Raw, version uint64) {
	if err := c.applyRecord(key, value, version); err != nil {
		c.Log.Error(logging.EventRecordUnreadable, logging.KeyStoreKey, key, logging.KeyVersion, version, logging.KeyError, err)
	}
}

// applyRecord passes a stored record to the component that owns its kind. A nil value means that
// the key was deleted. Unknown keys are ignored. The lock is held.
func (c *Controller) applyRecord(key string, value wire.Raw, version uint64) error {
	switch {
	case strings.HasPrefix(key, jobs.JobPrefix):
		return c.ApplyJob(strings.TrimPrefix(key, jobs.JobPrefix), value, version)
	case strings.HasPrefix(key, jobs.IntakePrefix):
		return c.Table.ApplyIntake(key, value, version)
	case strings.HasPrefix(key, jobs.ChunkPrefix):
		return c.Table.ApplyChunk(key, value)
	case strings.HasPrefix(key, jobs.TeamPrefix):
		return c.Quota.Apply(strings.TrimPrefix(key, jobs.TeamPrefix), value, version)
	case key == quota.ReservationsKey:
		return c.Quota.ApplyReservations(value)
	case strings.HasPrefix(key, inventory.GroupPrefix), strings.HasPrefix(key, inventory.SingleMachinePrefix):
		return c.Inventory.Apply(key, value)
	case strings.HasPrefix(key, membership.SessionPrefix):
		return c.ApplySession(strings.TrimPrefix(key, membership.SessionPrefix), value)
	case strings.HasPrefix(key, membership.UnreachablePrefix):
		c.ApplyUnreachable(strings.TrimPrefix(key, membership.UnreachablePrefix), value)
	case key == membership.LeaderKey:
		return c.ApplyLeader(value)
	case key == membership.RecordKey:
		return c.applyMembership(value)
	case key == cluster.MachineTypesKey:
		return c.MachineIndex.ApplyMachineTypes(value)
	}
	return nil
}
