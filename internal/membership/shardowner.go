package membership

import (
	"hash/fnv"
	"sort"
)

// Owner is the member that a machine is hashed to: the one with the highest
// rendezvous weight.
func (r *Record) Owner(host string) string {
	best, top := "", uint64(0)
	for _, n := range r.Nodes {
		if r.isUnreachable(n.Label) {
			continue
		}
		if w := weight(host, n.Label); best == "" || w > top || w == top && n.Label < best {
			best, top = n.Label, w
		}
	}
	return best
}

// RankNodes returns the members in the order in which they take a job's tasks.
func (r *Record) RankNodes(jobID string) []string {
	nodes := append([]Node(nil), r.Nodes...)
	sort.Slice(nodes, func(a, b int) bool {
		wa, wb := weight(jobID, nodes[a].Label), weight(jobID, nodes[b].Label)
		if wa != wb {
			return wa > wb
		}
		return nodes[a].Label < nodes[b].Label
	})
	out := make([]string, len(nodes))
	for i, n := range nodes {
		out[i] = n.Label
	}
	return out
}

func (r *Record) isUnreachable(label string) bool {
	for _, l := range r.Unreachable {
		if l == label {
			return true
		}
	}
	return false
}

func weight(key, label string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(key))
	h.Write([]byte{0})
	h.Write([]byte(label))
	// FNV's low-entropy inputs need a final mix to spread evenly.
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
