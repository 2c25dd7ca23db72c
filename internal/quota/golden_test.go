package quota

import (
	"flag"
	"testing"

	"wheatspur/internal/golden"
)

var update = flag.Bool("update", false, "rewrite the golden bytes")

// Stored records must stay readable by every later version, and by the version that
// runs alongside it during an upgrade.
func TestGoldenRecords(t *testing.T) {
	golden.Check(t, []golden.Sample{
		golden.CBORSample("team record", Record{FencingToken: 78, Frozen: true, Shares: map[string]Share{"node-1": {CPUs: 100.5, GPUs: 12.5}}}),
		golden.CBORSample("reservations", Reservations{Teams: map[string]Reservation{"team-1": {CPUs: 200.5, GPUs: 22.5, Since: 79}}}),
	}, *update)
}
