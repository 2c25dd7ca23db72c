package peer

import (
	"reflect"
	"testing"
	"time"
)

func sample() Status {
	return Status{Label: "n1", Incarnation: 7, FencingToken: 9, Revision: 100, HasStore: true, QueuedChanges: 5, MachinesVersion: 12, AllMachines: true, Known: MachinesVersion{3, 9, 6}, Machines: []MachineStatus{
		{Name: "host-1", Incarnation: 2, SinceHeard: 1500 * time.Millisecond, TokenAcknowledged: true, TerminationNotice: -1, Images: []string{"a", "b"}},
		{Name: "host-2", Incarnation: 1, SinceHeard: -1, Silent: true, TerminationNotice: 8 * time.Second, Quarantined: true},
	}}
}

func TestStatusSurvivesTheWire(t *testing.T) {
	s := sample()
	got, err := DecodeStatus(s.Encode())
	if err != nil || !reflect.DeepEqual(got, s) {
		t.Fatalf("%+v %v", got, err)
	}
	if _, err := DecodeStatus([]byte("short")); err == nil {
		t.Fatal("nonsense was read")
	}
}

func TestForwardedRequestsSurviveTheWire(t *testing.T) {
	r := ForwardRequest{"POST", "/work", []byte{1, 2, 0, 3}}
	if got, err := DecodeForwardRequest(r.Encode()); err != nil || !reflect.DeepEqual(got, r) {
		t.Fatalf("%+v %v", got, err)
	}
	p := ForwardResponse{503, "2", []byte{9}}
	if got, err := DecodeForwardResponse(p.Encode()); err != nil || !reflect.DeepEqual(got, p) {
		t.Fatalf("%+v %v", got, err)
	}
}

// FlatBuffers for Go has no verifier: damaged messages must end as errors.
func FuzzDecode(f *testing.F) {
	s := sample()
	f.Add(s.Encode())
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0, 0, 0, 0})
	r := ForwardRequest{"POST", "/work", []byte{1, 2}}
	f.Add(r.Encode())
	f.Fuzz(func(t *testing.T, b []byte) {
		_, _ = DecodeStatus(b)
		_, _ = DecodeForwardRequest(b)
		_, _ = DecodeForwardResponse(b)
	})
}
