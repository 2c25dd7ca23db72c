// Package fleet holds what a controller knows of the machines and their workers at run
// time: heartbeats and direct commands, the exchange with sibling controllers, the
// index of machines that placement starts from, and recovery after a start. Stored
// machine records are package inventory's, decisions about one worker package
// worker's, and which tasks go where package placement's.
package fleet

import "wheatspur/internal/cluster"

// Fleet is what a controller knows of the machines and their workers: by their
// heartbeats, from its siblings and from the store. Its components never change.
type Fleet struct {
	Workers      *WorkerManager
	Peers        *PeerExchange
	MachineIndex *MachineIndex
	Recovery     *RecoveryTracker
}

// New builds the components and connects them.
func New(state *cluster.State, client WorkerClient) *Fleet {
	workers := newWorkerManager(state, client)
	peers := newPeerExchange(state)
	index := newMachineIndex(state)
	tracker := newRecoveryTracker(state)
	workers.peers, workers.machineIndex, workers.recovery = peers, index, tracker
	peers.workers, peers.machineIndex, peers.recovery = workers, index, tracker
	index.workers, index.peers = workers, peers
	tracker.workers, tracker.peers = workers, peers
	return &Fleet{Workers: workers, Peers: peers, MachineIndex: index, Recovery: tracker}
}

// MarkChanged notes that the claims on a machine, or their jobs, have changed. The
// lock is held.
func (f *Fleet) MarkChanged(machine string) {
	f.MachineIndex.MarkChanged(machine)
	if w := f.Workers.ByMachine[machine]; w != nil {
		w.MarkChanged()
	}
}
