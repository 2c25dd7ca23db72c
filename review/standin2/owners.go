package standin2

import (
	"fmt"

	"wheatspur/internal/membership"
)

// members returns a membership of all controllers, as far as the owners of machines and the ranks of
// jobs depend on it.
func (s *Site) members() *membership.Record {
	var record membership.Record
	for _, node := range s.nodes {
		record.Members = append(record.Members, membership.Controller{Label: node.Label})
	}
	return &record
}

// JobIDs returns IDs, the lowest ones from wk-first on, of jobs that a controller takes first.
func (s *Site) JobIDs(label string, first, count int) []string {
	var ids []string
	for n := first; len(ids) < count; n++ {
		if id := fmt.Sprintf("wk-%06d", n); s.members().RankMembers(id)[0] == label {
			ids = append(ids, id)
		}
	}
	return ids
}
