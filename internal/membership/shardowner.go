package membership

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// ShardOwner is the shard owner of a machine: of the members that hear workers, the one with
// the highest rendezvous weight for it. So a machine moves only if its owner goes or
// becomes unreachable, or to a member that comes.
func (r *Record) ShardOwner(machine string) string {
	owner, highest := "", uint64(0)
	for _, node := range r.Nodes {
		if slices.Contains(r.Unreachable, node.Label) {
			continue
		}
		if w := rendezvousWeight(machine, node.Label); owner == "" || w > highest || w == highest && node.Label < owner {
			owner, highest = node.Label, w
		}
	}
	return owner
}

// RankNodes returns the labels of the members in the order in which they take a job's
// tasks: by their rendezvous weight for it.
func (r *Record) RankNodes(jobID string) []string {
	nodes := slices.Clone(r.Nodes)
	slices.SortFunc(nodes, func(a, b Node) int {
		return cmp.Or(cmp.Compare(rendezvousWeight(jobID, b.Label), rendezvousWeight(jobID, a.Label)), cmp.Compare(a.Label, b.Label))
	})
	return nodeLabels(nodes)
}

// rendezvousWeight is the rendezvous weight of a member for a machine or a job. All versions of the
// program that work side by side have to agree on it.
func rendezvousWeight(key, label string) uint64 {
	h := fnv.New64a() // its Write returns no error
	h.Write([]byte(key))
	h.Write([]byte{0})
	h.Write([]byte(label))
	// FNV's low-entropy inputs need a final mix to spread evenly: MurmurHash3's.
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
