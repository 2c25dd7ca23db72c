package membership

import (
	"fmt"
	"testing"
)

func TestOwnersAreEvenAndMoveOnlyWithTheirNode(t *testing.T) {
	three := Record{Nodes: []Node{n("a", 1), n("b", 2), n("c", 3)}}
	two := Record{Nodes: three.Nodes[:2]}
	count := map[string]int{}
	for i := range 300 {
		host := fmt.Sprintf("host-%06d", i)
		o := three.Owner(host)
		count[o]++
		if three.RankNodes(host)[0] != o {
			t.Fatalf("%s: order and owner differ", host)
		}
		if p := two.Owner(host); o != "c" && p != o {
			t.Fatalf("%s moved from %s to %s though its owner lives", host, o, p)
		}
	}
	for l, k := range count {
		if k < 70 || k > 130 {
			t.Errorf("%s owns %d of 300", l, k)
		}
	}
}
