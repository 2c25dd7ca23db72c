package peer

import (
	"encoding/hex"
	"flag"
	"os"
	"strings"
	"testing"
	"time"

	"wheatspur/internal/golden"
)

var update = flag.Bool("update", false, "rewrite the golden bytes")

// Nodes of two versions work side by side.
func TestGoldenMessages(t *testing.T) {
	status := Status{Label: "node-1", Incarnation: 91, FencingToken: 92, Revision: 93, HasStore: true, QueuedChanges: 94, MachinesVersion: 95, AllMachines: true,
		Known: MachinesVersion{Number: 96, FencingToken: 97, Incarnation: 98}, ReportsCancellations: true, LastCancellation: 99,
		Machines: []MachineStatus{{Name: "host-1", Incarnation: 101, SinceHeard: 1500 * time.Millisecond, Silent: true, TokenAcknowledged: true,
			TerminationNotice: 8 * time.Second, Quarantined: true, Images: []string{"img-07", "img-08"}}}, Recovering: true}
	request := ForwardRequest{Method: "POST", Path: "/work", Body: []byte{1, 2, 0, 3}}
	reply := ForwardResponse{Status: 503, RetryAfter: "2", Body: []byte{9, 0, 8}}
	golden.Check(t, []golden.Sample{
		message("status", &status, status.Encode, DecodeStatus),
		message("request", &request, request.Encode, DecodeForwardRequest),
		message("reply", &reply, reply.Encode, DecodeForwardResponse),
	}, *update)
}

// Nodes of 0.2.0 do not tell whether they recover, which reads as that they do not.
func TestAStatusOf020IsRead(t *testing.T) {
	text, err := os.ReadFile("testdata/status-0.2.0.hex")
	if err != nil {
		t.Fatal(err)
	}
	raw, err := hex.DecodeString(strings.TrimSpace(string(text)))
	if err != nil {
		t.Fatal(err)
	}
	got, err := DecodeStatus(raw)
	if err != nil || got.Recovering || got.Label != "node-1" || got.LastCancellation != 99 || len(got.Machines) != 1 {
		t.Fatalf("%+v %v", got, err)
	}
}

func message[T any](name string, value *T, encode func() []byte, decode func([]byte) (T, error)) golden.Sample {
	return golden.Sample{
		Name:   name,
		Value:  value,
		Encode: func() ([]byte, error) { return encode(), nil },
		Decode: func(b []byte) (any, error) {
			decoded, err := decode(b)
			return &decoded, err
		},
	}
}
