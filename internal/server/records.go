// This file takes the records of the state service from the cache into the node.

package server

import (
	"strings"

	"wheatspur/internal/fleet"
	"wheatspur/internal/jobs"
	"wheatspur/internal/member"
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

func (n *Node) applyRecord(key string, v wire.Raw, version uint64) error {
	switch {
	case strings.HasPrefix(key, jobs.JobPrefix):
		jobID := strings.TrimPrefix(key, jobs.JobPrefix)
		err := n.table.ApplyJob(jobID, v)
		if j := n.table.Jobs[jobID]; err != nil || j != nil && j.Record.Phase == jobs.Cancelled {
			n.cancelled = max(n.cancelled, version)
		}
		return err
	case strings.HasPrefix(key, jobs.IntakePrefix):
		return n.table.ApplyIntake(key, v, version)
	case strings.HasPrefix(key, jobs.ChunkPrefix):
		return n.table.ApplyChunk(key, v)
	case strings.HasPrefix(key, jobs.TeamPrefix):
		return n.table.ApplyTeam(strings.TrimPrefix(key, jobs.TeamPrefix), v)
	case strings.HasPrefix(key, fleet.GroupPrefix), strings.HasPrefix(key, fleet.HostPrefix):
		return n.reg.Apply(key, v)
	case strings.HasPrefix(key, member.NodePrefix):
		label := strings.TrimPrefix(key, member.NodePrefix)
		if v == nil {
			delete(n.sessions, label)
			delete(n.versions, label)
			return nil
		}
		s, err := member.DecodeSession(v)
		if err == nil {
			n.sessions[label], n.versions[label] = s.Node, *s
		}
		return err
	case strings.HasPrefix(key, member.UnreachablePrefix):
		label := strings.TrimPrefix(key, member.UnreachablePrefix)
		if v == nil {
			delete(n.unreachable, label)
		} else {
			n.unreachable[label] = true
		}
	case key == member.LeadKey:
		n.lead = nil
		if v == nil {
			return nil
		}
		m, err := member.DecodeNode(v)
		n.lead = m
		return err
	case key == member.Key:
		return n.applyMembership(v)
	case key == typesKey:
		var r wire.MachineTypes
		if v == nil {
			return nil
		}
		if err := wire.Unmarshal(v, &r); err != nil {
			return err
		}
		n.types, n.view.stale = r.Types, true
		clear(n.machineTypes)
		for _, t := range r.Types {
			n.machineTypes[t.Label] = t
		}
	}
	return nil
}
