// This file takes the records of the state service from the cache into the node.

package controller

import (
	"strings"

	"wheatspur/internal/inventory"
	"wheatspur/internal/jobs"
	"wheatspur/internal/membership"
	"wheatspur/internal/quota"
	"wheatspur/wire"
)

// typesKey holds the machine types, so that every node knows them, also while
// the cloud is out.
const typesKey = jobs.Root + "types"

// applyStored takes changed values from the cache; mu is held.
func (n *Controller) applyStored(key string, v wire.Raw, version uint64) {
	if err := n.applyRecord(key, v, version); err != nil {
		n.log.Error("stored record can't be read", "key", key, "stamp", version, "err", err)
	}
}

// applyRecord enters one stored value; nil says that there is none any more. mu is
// held, also by the methods for each kind of record.
func (n *Controller) applyRecord(key string, v wire.Raw, version uint64) error {
	switch {
	case strings.HasPrefix(key, jobs.JobPrefix):
		return n.applyJob(strings.TrimPrefix(key, jobs.JobPrefix), v, version)
	case strings.HasPrefix(key, jobs.IntakePrefix):
		return n.table.ApplyIntake(key, v, version)
	case strings.HasPrefix(key, jobs.ChunkPrefix):
		return n.table.ApplyChunk(key, v)
	case strings.HasPrefix(key, jobs.TeamPrefix):
		return n.quota.Apply(strings.TrimPrefix(key, jobs.TeamPrefix), v, version)
	case key == quota.ReservationsKey:
		return n.quota.ApplyReservations(v)
	case strings.HasPrefix(key, inventory.GroupPrefix), strings.HasPrefix(key, inventory.SingleMachinePrefix):
		return n.inventory.Apply(key, v)
	case strings.HasPrefix(key, membership.SessionPrefix):
		return n.applySession(strings.TrimPrefix(key, membership.SessionPrefix), v)
	case strings.HasPrefix(key, membership.UnreachablePrefix):
		n.applyUnreachable(strings.TrimPrefix(key, membership.UnreachablePrefix), v)
	case key == membership.LeaderKey:
		return n.applyLeader(v)
	case key == membership.Key:
		return n.applyMembership(v)
	case key == typesKey:
		return n.machineIndex.applyTypes(v)
	}
	return nil
}

// applyJob enters a job, and the version of the last cancellation.
func (cs *clusterState) applyJob(jobID string, v wire.Raw, version uint64) error {
	err := cs.table.ApplyJob(jobID, v)
	if j := cs.table.Jobs[jobID]; err != nil || j != nil && j.Record.Phase == jobs.Cancelled {
		cs.lastCancellation = max(cs.lastCancellation, version)
	}
	return err
}

// applySession enters a node's session and what it says of its program.
func (cs *clusterState) applySession(label string, v wire.Raw) error {
	if v == nil {
		delete(cs.sessions, label)
		delete(cs.storedSessions, label)
		return nil
	}
	s, err := membership.DecodeSession(v)
	if err != nil {
		return err
	}
	cs.sessions[label] = s.Node
	cs.storedSessions[label] = *s
	return nil
}

// applyUnreachable enters whether a node says that it hears no worker.
func (cs *clusterState) applyUnreachable(label string, v wire.Raw) {
	if v == nil {
		delete(cs.unreachable, label)
	} else {
		cs.unreachable[label] = true
	}
}

// applyLeader enters which node holds the lead; a record that can't be read leaves none.
func (cs *clusterState) applyLeader(v wire.Raw) error {
	cs.leader = nil
	if v == nil {
		return nil
	}
	m, err := membership.DecodeNode(v)
	cs.leader = m
	return err
}

// applyTypes enters the machine types; without a record the known ones stay.
func (mi *machineIndex) applyTypes(v wire.Raw) error {
	if v == nil {
		return nil
	}
	var r wire.MachineTypes
	if err := wire.Unmarshal(v, &r); err != nil {
		return err
	}
	mi.machineTypeList = r.Types
	mi.rebuild = true
	clear(mi.machineTypes)
	for _, t := range r.Types {
		mi.machineTypes[t.Label] = t
	}
	return nil
}
