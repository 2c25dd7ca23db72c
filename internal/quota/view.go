package quota

// View is the input of a decision: the membership and the stored claims, as far as
// this controller has read them.
type View struct {
	Self         string   // label of this controller
	Leader       string   // label of the leader
	Members      []string // labels of all members
	FencingToken uint64   // of the membership
	Claimed      ClaimedByController
	// Revision is the revision of the key-value store up to which Claimed holds every claim.
	Revision uint64
}

// claimedBy returns what a team's claims on a controller's machines take.
func (v View) claimedBy(controller, team string) Amount { return v.Claimed[controller][team] }

// ClaimedByController holds what the stored claims on each controller's machines take, by
// controller and team.
type ClaimedByController map[string]map[string]Amount

// Total returns what a team's claims on all machines take.
func (c ClaimedByController) Total(team string) Amount {
	var sum Amount
	for _, byTeam := range c {
		sum = sum.Add(byTeam[team])
	}
	return sum
}

// Cache is the part of the key-value store that a controller has read. Because of
// the controller's own writes, versions of keys may be newer than the revision up to
// which the cache is complete.
type Cache interface {
	// Version returns the version of a key, or 0 if the key does not exist.
	Version(key string) uint64
	// Revision returns the revision up to which every change has been read.
	Revision() uint64
	// NewestRevision returns the latest revision from which any change is known.
	NewestRevision() uint64
}
