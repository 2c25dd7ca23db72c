package controller

// fleet is what a controller knows of the machines and their workers: by their
// heartbeats, from its siblings and from the store.
type fleet struct {
	workers      *workerManager
	peers        *peerExchange
	machineIndex *machineIndex
	recovery     *recoveryTracker
}

// newFleet builds the parts and connects them.
func newFleet(state *clusterState, client workerClient) *fleet {
	workers := newWorkerManager(state, client)
	peers := newPeerExchange(state)
	index := newMachineIndex(state)
	tracker := newRecoveryTracker(state)
	workers.peers, workers.machineIndex, workers.recovery = peers, index, tracker
	peers.workers, peers.machineIndex, peers.recovery = workers, index, tracker
	index.workers, index.peers = workers, peers
	tracker.workers, tracker.peers = workers, peers
	return &fleet{workers: workers, peers: peers, machineIndex: index, recovery: tracker}
}

// markChanged notes that the claims on a machine, or their jobs, have changed;
// the lock is held.
func (f *fleet) markChanged(machine string) {
	f.machineIndex.markChanged(machine)
	if w := f.workers.byMachine[machine]; w != nil {
		w.MarkChanged()
	}
}
