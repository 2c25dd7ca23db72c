package membership

import (
	"fmt"
	"testing"
)

func TestShardOwnersAreBalancedAndStable(t *testing.T) {
	three := Record{Members: []Controller{node("a", 1), node("b", 2), node("c", 3)}}
	two := Record{Members: three.Members[:2]}
	owned := map[string]int{}
	for i := range 300 {
		machine := fmt.Sprintf("host-%06d", i)
		owner := three.ShardOwner(machine)
		owned[owner]++
		if three.RankMembers(machine)[0] != owner {
			t.Fatalf("%s: the first-ranked node is not the owner", machine)
		}
		if other := two.ShardOwner(machine); owner != "c" && other != owner {
			t.Fatalf("%s moved from %s to %s though its owner is a member", machine, owner, other)
		}
	}
	for label, machines := range owned {
		if machines < 70 || machines > 130 {
			t.Errorf("%s owns %d of 300 machines, want 70 to 130", label, machines)
		}
	}
}
