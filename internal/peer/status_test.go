package peer

import (
	"encoding/hex"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"
)

func sampleStatus() Status {
	return Status{Label: "n1", Incarnation: 7, FencingToken: 9, Revision: 100, HasStore: true, QueuedWrites: 5, MachinesVersionNumber: 12, AllMachines: true, KnownMachines: MachinesVersion{3, 9, 6}, Machines: []MachineStatus{
		{Name: "host-1", Incarnation: 2, SilentFor: 1500 * time.Millisecond, TokenAcknowledged: true, TerminationNotice: -1, Images: []string{"a", "b"}},
		{Name: "host-2", Incarnation: 1, SilentFor: -1, Silent: true, TerminationNotice: 8 * time.Second, Quarantined: true},
	}}
}

func TestStatusRoundTrip(t *testing.T) {
	status := sampleStatus()
	got, err := DecodeStatus(status.Encode())
	if err != nil || !reflect.DeepEqual(got, status) {
		t.Fatalf("%+v %v", got, err)
	}
}

// Controllers of version 0.2.0 do not send the field "recovering", which must be decoded as
// false.
func TestDecodeStatusFromVersion020(t *testing.T) {
	text, err := os.ReadFile("testdata/status-0.2.0.hex")
	if err != nil {
		t.Fatal(err)
	}
	message, err := hex.DecodeString(strings.TrimSpace(string(text)))
	if err != nil {
		t.Fatal(err)
	}
	got, err := DecodeStatus(message)
	if err != nil || got.Recovering || got.Label != "node-1" || got.LastCancellation != 99 || len(got.Machines) != 1 {
		t.Fatalf("%+v %v", got, err)
	}
}
