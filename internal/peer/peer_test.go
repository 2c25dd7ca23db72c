package peer

import (
	"reflect"
	"testing"
	"time"
)

func sample() Status {
	return Status{Label: "n1", Incarnation: 7, Baton: 9, Epoch: 100, HasState: true, Hosts: []Host{
		{Name: "host-1", Stint: 2, Age: 1500 * time.Millisecond, Proven: true, Warning: -1, Images: []string{"a", "b"}},
		{Name: "host-2", Stint: 1, Age: -1, Warning: 8 * time.Second, Suspect: true},
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

// FlatBuffers for Go has no verifier: damaged messages must end as errors.
func FuzzDecode(f *testing.F) {
	s := sample()
	f.Add(s.Encode())
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, b []byte) { _, _ = Decode(b) })
}
