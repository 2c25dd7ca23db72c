// This file takes the records of the state service from the cache into the node.

package cluster

import (
	"wheatspur/internal/jobs"
	"wheatspur/internal/membership"
	"wheatspur/wire"
)

// ApplyJob enters a job, and the version of the last cancellation.
func (cs *State) ApplyJob(jobID string, v wire.Raw, version uint64) error {
	err := cs.Table.ApplyJob(jobID, v)
	if j := cs.Table.Jobs[jobID]; err != nil || j != nil && j.Record.Phase == jobs.Cancelled {
		cs.LastCancellation = max(cs.LastCancellation, version)
	}
	return err
}

// ApplySession enters a node's session and what it says of its program.
func (cs *State) ApplySession(label string, v wire.Raw) error {
	if v == nil {
		delete(cs.Sessions, label)
		delete(cs.StoredSessions, label)
		return nil
	}
	s, err := membership.DecodeSession(v)
	if err != nil {
		return err
	}
	cs.Sessions[label] = s.Node
	cs.StoredSessions[label] = *s
	return nil
}

// ApplyUnreachable enters whether a node says that it hears no worker.
func (cs *State) ApplyUnreachable(label string, v wire.Raw) {
	if v == nil {
		delete(cs.Unreachable, label)
	} else {
		cs.Unreachable[label] = true
	}
}

// ApplyLeader enters which node holds the lead; a record that can't be read leaves none.
func (cs *State) ApplyLeader(v wire.Raw) error {
	cs.Leader = nil
	if v == nil {
		return nil
	}
	m, err := membership.DecodeNode(v)
	cs.Leader = m
	return err
}

// TypesKey holds the machine types, so that every node knows them, also while
// the cloud is out.
const TypesKey = jobs.Root + "types"
