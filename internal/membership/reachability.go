package membership

// minSilentMachines is the number of silent machines from which on the fault is taken for
// the controller's: one may have a fault of its own.
const minSilentMachines = 2

// Reachability is what a controller knows of whether its workers reach it.
type Reachability struct {
	Unreachable         bool // it has told that they don't
	Heard               int  // machines of its own that were heard lately
	Silent              int  // machines of its own with tasks that were not
	SiblingHearsWorkers bool // a sibling hears a machine of its own
	ProbeAnswered       bool // while unreachable: a worker answers a probe, or there is none to ask
}

// NextUnreachable decides whether the controller counts as unreachable from now on. A
// single silent machine may be at fault itself; if all of several are silent while a
// sibling hears its own, the controller is cut off from the workers. It stays so
// until a worker answers it.
func (r Reachability) NextUnreachable() bool {
	if r.Unreachable {
		return !r.ProbeAnswered
	}
	return r.Heard == 0 && r.Silent >= minSilentMachines && r.SiblingHearsWorkers
}
