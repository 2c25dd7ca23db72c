package membership

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// ShardOwner returns the label of the member that owns a machine: of the members that
// workers reach, the one with the highest rendezvous weight for the machine. So a machine
// changes its owner only if the owner leaves or becomes unreachable, or if another member
// joins or becomes reachable again and outweighs it.
func (r *Record) ShardOwner(machine string) string {
	owner, highest := "", uint64(0)
	for _, node := range r.Members {
		if slices.Contains(r.Unreachable, node.Label) {
			continue
		}
		if w := rendezvousWeight(machine, node.Label); owner == "" || w > highest || w == highest && node.Label < owner {
			owner, highest = node.Label, w
		}
	}
	return owner
}

// RankMembers returns the labels of the members in the order in which they take the tasks of a
// job, which is by descending rendezvous weight for the job.
func (r *Record) RankMembers(jobID string) []string {
	members := slices.Clone(r.Members)
	slices.SortFunc(members, func(a, b Controller) int {
		return cmp.Or(cmp.Compare(rendezvousWeight(jobID, b.Label), rendezvousWeight(jobID, a.Label)), cmp.Compare(a.Label, b.Label))
	})
	return memberLabels(members)
}

// rendezvousWeight returns the weight of a member for a machine or a job in rendezvous
// hashing. All program versions that run at the same time have to agree on it.
func rendezvousWeight(key, label string) uint64 {
	h := fnv.New64a() // its Write returns no error
	h.Write([]byte(key))
	h.Write([]byte{0})
	h.Write([]byte(label))
	// FNV spreads inputs of low entropy unevenly, so its hash goes through the finalizer of
	// MurmurHash3.
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
