// This file applies the stored records that belong to the state itself. The cache calls it,
// through the controller, with the lock held.

package cluster

import (
	"wheatspur/internal/jobs"
	"wheatspur/internal/membership"
	"wheatspur/wire"
)

// MachineTypesKey is the key of the machine types. They are stored so that every controller
// knows them even while the cloud API is unavailable.
const MachineTypesKey = jobs.RootPrefix + "types"

// ApplyJob applies the record of a job. If the job is cancelled, its version counts towards
// LastCancellation; so does that of a record that can't be decoded, which may be a
// cancellation. The lock is held.
func (cs *State) ApplyJob(jobID string, value wire.Raw, version uint64) error {
	err := cs.Table.ApplyJob(jobID, value)
	if j := cs.Table.Jobs[jobID]; err != nil || j != nil && j.Record.Phase == jobs.Cancelled {
		cs.LastCancellation = max(cs.LastCancellation, version)
	}
	return err
}

// ApplySession applies the session of a controller; a nil value means that it has ended. The
// lock is held.
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
	cs.Sessions[label] = session.Controller
	cs.StoredSessions[label] = *session
	return nil
}

// ApplyUnreachable applies whether a controller has stored that no worker reaches it; a nil
// value means that it has not. The lock is held.
func (cs *State) ApplyUnreachable(label string, value wire.Raw) {
	if value == nil {
		delete(cs.Unreachable, label)
	} else {
		cs.Unreachable[label] = true
	}
}

// ApplyLeader applies the leader record. If it is deleted or can't be decoded, there is no
// leader. The lock is held.
func (cs *State) ApplyLeader(value wire.Raw) error {
	cs.Leader = nil
	if value == nil {
		return nil
	}
	node, err := membership.DecodeController(value)
	cs.Leader = node
	return err
}
