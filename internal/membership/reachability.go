package membership

// minSilentMachines is the least number of silent machines for which the fault is
// attributed to the controller. A single silent machine may itself be at fault.
const minSilentMachines = 2

// Reachability is what a controller knows about whether its workers reach it.
type Reachability struct {
	Unreachable               bool // it has stored that they don't
	HeardMachines             int  // its own machines that have sent a message recently
	SilentMachines            int  // its own machines with tasks that have not
	SiblingReceivesHeartbeats bool // a sibling receives messages from its own machines
	MayBecomeReachable        bool // while unreachable: a worker has answered a probe, or there is none to probe
}

// CountsAsUnreachable reports whether the controller counts as unreachable from now on. If it
// hears none of its machines, at least minSilentMachines of them are silent, and a sibling
// hears its own, the controller is cut off from the workers. It remains unreachable until
// MayBecomeReachable is true.
func (r Reachability) CountsAsUnreachable() bool {
	if r.Unreachable {
		return !r.MayBecomeReachable
	}
	return r.HeardMachines == 0 && r.SilentMachines >= minSilentMachines && r.SiblingReceivesHeartbeats
}
