// This file enters the stored records that belong to the state itself. The cache
// calls it, by way of the controller, with the lock held.

package cluster

import (
	"wheatspur/internal/jobs"
	"wheatspur/internal/membership"
	"wheatspur/wire"
)

// MachineTypesKey is the key of the machine types. They are stored so that every controller
// knows them, also while the cloud is out.
const MachineTypesKey = jobs.Root + "types"

// ApplyJob enters a job's record, and its version if it is the last cancellation: a
// record that can't be read may be one. The lock is held.
func (cs *State) ApplyJob(jobID string, value wire.Raw, version uint64) error {
	err := cs.Table.ApplyJob(jobID, value)
	if j := cs.Table.Jobs[jobID]; err != nil || j != nil && j.Record.Phase == jobs.Cancelled {
		cs.LastCancellation = max(cs.LastCancellation, version)
	}
	return err
}

// ApplySession enters a controller's session, nil for one that has ended. The lock
// is held.
func (cs *State) ApplySession(label string, value wire.Raw) error {
	if value == nil {
		delete(cs.Sessions, label)
		delete(cs.StoredSessions, label)
		return nil
	}
	session, err := membership.DecodeSession(value)
	if err != nil {
		return err
	}
	cs.Sessions[label] = session.Node
	cs.StoredSessions[label] = *session
	return nil
}

// ApplyUnreachable enters whether a controller has stored that no worker reaches it.
// The lock is held.
func (cs *State) ApplyUnreachable(label string, value wire.Raw) {
	if value == nil {
		delete(cs.Unreachable, label)
	} else {
		cs.Unreachable[label] = true
	}
}

// ApplyLeader enters the leader record; one that is deleted or can't be read leaves
// no leader. The lock is held.
func (cs *State) ApplyLeader(value wire.Raw) error {
	cs.Leader = nil
	if value == nil {
		return nil
	}
	node, err := membership.DecodeNode(value)
	cs.Leader = node
	return err
}
