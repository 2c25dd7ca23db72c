package peer

import (
	"flag"
	"testing"
	"time"

	"wheatspur/internal/golden"
)

var update = flag.Bool("update", false, "rewrite the golden bytes")

// Nodes of two versions work side by side.
func TestGoldenMessages(t *testing.T) {
	status := Status{Label: "node-1", Incarnation: 91, Token: 92, Revision: 93, HasState: true, QueuedChanges: 94, View: 95, Whole: true,
		Seen: Seen{View: 96, Token: 97, Incarnation: 98}, Counts: true, Cancelled: 99,
		Hosts: []Host{{Name: "host-1", Session: 101, Age: 1500 * time.Millisecond, Silent: true, Proven: true,
			Notice: 8 * time.Second, Suspect: true, Images: []string{"img-07", "img-08"}}}}
	request := Request{Method: "POST", Path: "/work", Body: []byte{1, 2, 0, 3}}
	reply := Reply{Status: 503, RetryAfter: "2", Body: []byte{9, 0, 8}}
	golden.Check(t, []golden.Sample{
		message("status", &status, status.Encode, Decode),
		message("request", &request, request.Encode, DecodeRequest),
		message("reply", &reply, reply.Encode, DecodeReply),
	}, *update)
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
