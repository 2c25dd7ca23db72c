package peer

import (
	"flag"
	"testing"
	"time"

	"wheatspur/internal/golden"
)

var update = flag.Bool("update", false, "rewrite the golden file")

// The encoding of the messages must not change: controllers of two versions run side by side.
func TestGoldenMessages(t *testing.T) {
	status := Status{Label: "node-1", Incarnation: 91, FencingToken: 92, Revision: 93, HasStore: true, QueuedWrites: 94, MachinesVersionNumber: 95, AllMachines: true,
		KnownMachines: MachinesVersion{Number: 96, FencingToken: 97, Incarnation: 98}, ReportsCancellations: true, LastCancellation: 99,
		Machines: []MachineStatus{{Name: "host-1", Incarnation: 101, SilentFor: 1500 * time.Millisecond, Silent: true, TokenAcknowledged: true,
			TerminationNotice: 8 * time.Second, Quarantined: true, Images: []string{"img-07", "img-08"}}}, Recovering: true}
	request := ForwardRequest{Method: "POST", Path: "/work", Body: []byte{1, 2, 0, 3}}
	response := ForwardResponse{Status: 503, RetryAfter: "2", Body: []byte{9, 0, 8}}
	golden.Check(t, []golden.Sample{
		messageSample("status", &status, status.Encode, DecodeStatus),
		messageSample("request", &request, request.Encode, DecodeForwardRequest),
		messageSample("reply", &response, response.Encode, DecodeForwardResponse),
	}, *update)
}

// messageSample returns the golden sample of a message.
func messageSample[T any](name string, value *T, encode func() []byte, decode func([]byte) (T, error)) golden.Sample {
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
