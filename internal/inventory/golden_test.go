package inventory

import (
	"flag"
	"testing"

	"wheatspur/internal/golden"
	"wheatspur/internal/placement"
)

var update = flag.Bool("update", false, "rewrite the golden bytes")

// Stored records must stay readable to every later version, and to the version that runs alongside
// this one.
func TestGoldenRecords(t *testing.T) {
	record := Record{MachineType: "g8", Zone: "zone-1", Spot: true, Role: placement.Batch, Phase: Draining, Reason: "no work"}
	golden.Check(t, []golden.Sample{
		golden.CBORSample("machine record", record),
		golden.CBORSample("group record", Group{Machines: map[string]Record{"host-1": record}}),
	}, *update)
}

// The stored phases and key prefixes must never change.
func TestStoredConstantsKeepTheirValues(t *testing.T) {
	for _, c := range []struct{ got, want string }{
		{string(Active), "in"}, {string(Draining), "draining"}, {string(Terminated), "returned"},
		{GroupKey(7), "w/fleet/000007"}, {SingleMachinePrefix, "w/host/"},
	} {
		if c.got != c.want {
			t.Errorf("stored constant %q, want %q", c.got, c.want)
		}
	}
}
