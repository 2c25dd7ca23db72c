package peer

import (
	"reflect"
	"testing"
	"time"
)

func sample() Status {
	return Status{Label: "n1", Incarnation: 7, Token: 9, Revision: 100, HasState: true, QueuedChanges: 5, View: 12, Whole: true, Seen: Seen{3, 9, 6}, Hosts: []Host{
		{Name: "host-1", Session: 2, Age: 1500 * time.Millisecond, Proven: true, Notice: -1, Images: []string{"a", "b"}},
		{Name: "host-2", Session: 1, Age: -1, Silent: true, Notice: 8 * time.Second, Suspect: true},
	}}
}

func TestStatusSurvivesTheWire(t *testing.T) {
	s := sample()
	got, err := Decode(s.Encode())
	if err != nil || !reflect.DeepEqual(got, s) {
		t.Fatalf("%+v %v", got, err)
	}
	if _, err := Decode([]byte("short")); err == nil {
		t.Fatal("nonsense was read")
	}
}

func TestForwardedRequestsSurviveTheWire(t *testing.T) {
	r := Request{"POST", "/work", []byte{1, 2, 0, 3}}
	if got, err := DecodeRequest(r.Encode()); err != nil || !reflect.DeepEqual(got, r) {
		t.Fatalf("%+v %v", got, err)
	}
	p := Reply{503, "2", []byte{9}}
	if got, err := DecodeReply(p.Encode()); err != nil || !reflect.DeepEqual(got, p) {
		t.Fatalf("%+v %v", got, err)
	}
}

// FlatBuffers for Go has no verifier: damaged messages must end as errors.
func FuzzDecode(f *testing.F) {
	s := sample()
	f.Add(s.Encode())
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0, 0, 0, 0})
	r := Request{"POST", "/work", []byte{1, 2}}
	f.Add(r.Encode())
	f.Fuzz(func(t *testing.T, b []byte) {
		_, _ = Decode(b)
		_, _ = DecodeRequest(b)
		_, _ = DecodeReply(b)
	})
}
