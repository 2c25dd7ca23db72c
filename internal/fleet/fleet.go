// Package fleet holds what a controller knows about machines and their workers at run time:
// heartbeats and direct commands, the exchange of status with sibling controllers, the index
// of machines that placement uses, and recovery after a start. Package inventory holds the
// stored machine records, package worker decides about a single worker, and package placement
// decides where tasks run.
package fleet

import "wheatspur/internal/cluster"

// Fleet holds the components that track machines and workers by heartbeats, by the siblings'
// status and by the store. Its fields never change.
type Fleet struct {
	Workers      *WorkerManager
	Peers        *PeerExchange
	MachineIndex *MachineIndex
	Recovery     *RecoveryTracker
}

// New creates the components and connects them to each other.
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

// MarkClaimsChanged records that the claims on a machine, or the jobs of these claims, have
// changed. The lock is held.
func (f *Fleet) MarkClaimsChanged(machine string) {
	f.MachineIndex.MarkChanged(machine)
	if w := f.Workers.ByMachine[machine]; w != nil {
		w.MarkChanged()
	}
}
