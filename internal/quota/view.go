package quota

// View is the membership and the picture of the stored claims that decisions
// start from.
type View struct {
	Self         string // this node
	Leader       string
	Nodes        []string // all members
	FencingToken uint64   // of the membership
	Claimed      ClaimedByNode
	// Revision of the state service up to which every claim is in Held.
	Revision uint64
}

// ClaimedByNode is what the stored claims on each node's machines take, by node and
// team.
type ClaimedByNode map[string]map[string]Amount

// Of is what a team's claims on all machines take.
func (h ClaimedByNode) Of(team string) Amount {
	var sum Amount
	for _, teams := range h {
		sum = sum.Add(teams[team])
	}
	return sum
}

// Cache is what a node has read of the state service. The versions of keys may be
// ahead of the revision up to which it is complete, by the node's own writes.
type Cache interface {
	// Version is the version of a key, 0 if it does not exist.
	Version(key string) uint64
	// Revision is the revision up to which every change has been read.
	Revision() uint64
	// NewestRevision is the latest revision of which anything is known.
	NewestRevision() uint64
}
