package membership

import (
	"flag"
	"testing"

	"wheatspur/internal/golden"
)

var update = flag.Bool("update", false, "rewrite the golden file")

// Stored records must stay readable by every later version, and by the other version that
// runs at the same time during an upgrade.
func TestGoldenRecords(t *testing.T) {
	stored := node("node-1", 81)
	golden.Check(t, []golden.Sample{
		golden.CBORSample("node", stored),
		golden.CBORSample("session", Session{Controller: stored, Format: 82, ProgramVersion: "0.2.0"}),
		golden.CBORSample("membership", Record{FencingToken: 83, Leader: stored, Members: []Controller{node("node-2", 84)},
			Unreachable: []string{"node-3"}, TokensBelow: 82, TokenCount: 85}),
	}, *update)
}

func TestStoredKeys(t *testing.T) {
	for _, c := range []struct{ got, want string }{
		{RecordKey, "w/member"}, {LeaderKey, "w/lead"}, {SessionKey("node-1"), "w/node/node-1"}, {UnreachableKey("node-1"), "w/deaf/node-1"},
	} {
		if c.got != c.want {
			t.Errorf("key %q, want %q", c.got, c.want)
		}
	}
}
