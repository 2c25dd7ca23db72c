package membership

// Reachability is what a node knows of whether its workers reach it.
type Reachability struct {
	Unreachable       bool // it has said so
	Heard             int  // machines of its own that were heard lately
	Silent            int  // machines of its own with tasks that were not
	SiblingsReachable bool // a sibling hears its machines
	Answered          bool // while unreachable: a worker answers a probe, or there is none to ask
}

// NextUnreachable decides whether the node is unreachable. One silent machine may be its own
// trouble; all of several, while a sibling hears its own, are the node's.
func (e Reachability) NextUnreachable() bool {
	if e.Unreachable {
		return !e.Answered
	}
	return e.Heard == 0 && e.Silent >= 2 && e.SiblingsReachable
}
