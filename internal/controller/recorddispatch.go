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

// applyStored takes changed values from the cache; the lock is held.
func (n *Controller) applyStored(key string, v wire.Raw, version uint64) {
	if err := n.applyRecord(key, v, version); err != nil {
		n.Log.Error(logging.EventRecordUnreadable, logging.KeyStoreKey, key, logging.KeyVersion, version, logging.KeyError, err)
	}
}

// applyRecord enters one stored value; nil says that there is none any more. the lock is
// held, also by the methods for each kind of record.
func (n *Controller) applyRecord(key string, v wire.Raw, version uint64) error {
	switch {
	case strings.HasPrefix(key, jobs.JobPrefix):
		return n.ApplyJob(strings.TrimPrefix(key, jobs.JobPrefix), v, version)
	case strings.HasPrefix(key, jobs.IntakePrefix):
		return n.Table.ApplyIntake(key, v, version)
	case strings.HasPrefix(key, jobs.ChunkPrefix):
		return n.Table.ApplyChunk(key, v)
	case strings.HasPrefix(key, jobs.TeamPrefix):
		return n.Quota.Apply(strings.TrimPrefix(key, jobs.TeamPrefix), v, version)
	case key == quota.ReservationsKey:
		return n.Quota.ApplyReservations(v)
	case strings.HasPrefix(key, inventory.GroupPrefix), strings.HasPrefix(key, inventory.SingleMachinePrefix):
		return n.Inventory.Apply(key, v)
	case strings.HasPrefix(key, membership.SessionPrefix):
		return n.ApplySession(strings.TrimPrefix(key, membership.SessionPrefix), v)
	case strings.HasPrefix(key, membership.UnreachablePrefix):
		n.ApplyUnreachable(strings.TrimPrefix(key, membership.UnreachablePrefix), v)
	case key == membership.LeaderKey:
		return n.ApplyLeader(v)
	case key == membership.Key:
		return n.applyMembership(v)
	case key == cluster.TypesKey:
		return n.MachineIndex.ApplyTypes(v)
	}
	return nil
}
