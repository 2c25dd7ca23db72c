// This file takes the records of the state service from the cache into the node.

package server

import (
	"strings"

	"wheatspur/internal/fleet"
	"wheatspur/internal/jobs"
	"wheatspur/internal/member"
	"wheatspur/internal/quota"
	"wheatspur/wire"
)

// typesKey holds the machine types, so that every node knows them, also while
// the cloud is out.
const typesKey = jobs.Root + "types"

// sink takes changed values from the cache; mu is held.
func (n *Node) sink(key string, v wire.Raw, version uint64) {
	if err := n.applyRecord(key, v, version); err != nil {
		n.log.Error("stored record can't be read", "key", key, "stamp", version, "err", err)
	}
}

// applyRecord enters one stored value; nil says that there is none any more. mu is
// held, also by the methods for each kind of record.
func (n *Node) applyRecord(key string, v wire.Raw, version uint64) error {
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
	case strings.HasPrefix(key, fleet.GroupPrefix), strings.HasPrefix(key, fleet.SingleMachinePrefix):
		return n.reg.Apply(key, v)
	case strings.HasPrefix(key, member.SessionPrefix):
		return n.applySession(strings.TrimPrefix(key, member.SessionPrefix), v)
	case strings.HasPrefix(key, member.UnreachablePrefix):
		n.applyUnreachable(strings.TrimPrefix(key, member.UnreachablePrefix), v)
	case key == member.LeaderKey:
		return n.applyLead(v)
	case key == member.Key:
		return n.applyMembership(v)
	case key == typesKey:
		return n.applyTypes(v)
	}
	return nil
}

// applyJob enters a job, and the version of the last cancellation.
func (n *Node) applyJob(jobID string, v wire.Raw, version uint64) error {
	err := n.table.ApplyJob(jobID, v)
	if j := n.table.Jobs[jobID]; err != nil || j != nil && j.Record.Phase == jobs.Cancelled {
		n.cancelled = max(n.cancelled, version)
	}
	return err
}

// applySession enters a node's session and what it says of its program.
func (n *Node) applySession(label string, v wire.Raw) error {
	if v == nil {
		delete(n.sessions, label)
		delete(n.versions, label)
		return nil
	}
	s, err := member.DecodeSession(v)
	if err != nil {
		return err
	}
	n.sessions[label] = s.Node
	n.versions[label] = *s
	return nil
}

// applyUnreachable enters whether a node says that it hears no worker.
func (n *Node) applyUnreachable(label string, v wire.Raw) {
	if v == nil {
		delete(n.unreachable, label)
	} else {
		n.unreachable[label] = true
	}
}

// applyLead enters which node holds the lead; a record that can't be read leaves none.
func (n *Node) applyLead(v wire.Raw) error {
	n.lead = nil
	if v == nil {
		return nil
	}
	m, err := member.DecodeNode(v)
	n.lead = m
	return err
}

// applyTypes enters the machine types; without a record the known ones stay.
func (n *Node) applyTypes(v wire.Raw) error {
	if v == nil {
		return nil
	}
	var r wire.MachineTypes
	if err := wire.Unmarshal(v, &r); err != nil {
		return err
	}
	n.types = r.Types
	n.view.stale = true
	clear(n.machineTypes)
	for _, t := range r.Types {
		n.machineTypes[t.Label] = t
	}
	return nil
}
