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
	status := Status{Label: "node-1", Incarnation: 91, Token: 92, Revision: 93, HasState: true, QueuedChanges: 94, View: 95, Whole: true,
		Seen: Seen{View: 96, Token: 97, Incarnation: 98}, Counts: true, Cancelled: 99,
		Hosts: []Host{{Name: "host-1", Session: 101, Age: 1500 * time.Millisecond, Silent: true, Proven: true,
			Notice: 8 * time.Second, Suspect: true, Images: []string{"img-07", "img-08"}}}, Recovering: true}
	request := Request{Method: "POST", Path: "/work", Body: []byte{1, 2, 0, 3}}
	reply := Reply{Status: 503, RetryAfter: "2", Body: []byte{9, 0, 8}}
	golden.Check(t, []golden.Sample{
		message("status", &status, status.Encode, Decode),
		message("request", &request, request.Encode, DecodeRequest),
		message("reply", &reply, reply.Encode, DecodeReply),
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
	got, err := Decode(raw)
	if err != nil || got.Recovering || got.Label != "node-1" || got.Cancelled != 99 || len(got.Hosts) != 1 {
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
