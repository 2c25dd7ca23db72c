package quota

// View is the membership and the stored claims, as far as this controller has
// read them, that decisions start from.
type View struct {
	Self         string   // label of this controller
	Leader       string   // label of the leader
	Nodes        []string // labels of all members
	FencingToken uint64   // of the membership
	Claimed      ClaimedByNode
	// Revision of the key-value store up to which every claim is in Claimed.
	Revision uint64
}

// claimedBy is what a team's claims on a controller's machines take.
func (v View) claimedBy(controller, team string) Amount { return v.Claimed[controller][team] }

// ClaimedByNode is what the stored claims on each controller's machines take, by
// controller and team.
type ClaimedByNode map[string]map[string]Amount

// Of is what a team's claims on all machines take.
func (c ClaimedByNode) Of(team string) Amount {
	var sum Amount
	for _, byTeam := range c {
		sum = sum.Add(byTeam[team])
	}
	return sum
}

// Cache is what a controller has read of the key-value store. The versions of
// keys may be ahead of the revision up to which it is complete, by the
// controller's own writes.
type Cache interface {
	// Version is the version of a key, 0 if it does not exist.
	Version(key string) uint64
	// Revision is the revision up to which every change has been read.
	Revision() uint64
	// NewestRevision is the latest revision of which anything is known.
	NewestRevision() uint64
}
