// This file takes the records of the state service from the cache into the node.

package controller

import (
	"wheatspur/internal/jobs"
	"wheatspur/internal/membership"
	"wheatspur/wire"
)

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

// typesKey holds the machine types, so that every node knows them, also while
// the cloud is out.
const typesKey = jobs.Root + "types"
