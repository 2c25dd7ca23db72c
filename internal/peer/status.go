package peer

import (
	"time"

	flatbuffers "github.com/google/flatbuffers/go"

	"wheatspur/internal/peer/fb"
)

// MachineStatus is what a node tells about one of its machines.
type MachineStatus struct {
	Name              string
	Incarnation       uint64
	SinceHeard        time.Duration // since its last message, if silent
	Silent            bool          // not heard for longer than its reports allow
	TokenAcknowledged bool
	TerminationNotice time.Duration // negative: no notice
	Quarantined       bool
	Images            []string
}

// Status is what a node tells about itself.
type Status struct {
	Label           string
	Incarnation     uint64
	FencingToken    uint64
	Revision        uint64
	HasStore        bool
	QueuedChanges   uint32          // changes of the state service that wait for its budget
	MachinesVersion uint64          // number of the sender's view of its machines
	AllMachines     bool            // Hosts are all machines, not those that changed
	Known           MachinesVersion // what the sender has of the receiver
	Machines        []MachineStatus
	// Cancelled is the version of the last cancellation that the sender knows, if
	// it Counts them: earlier versions don't.
	ReportsCancellations bool
	LastCancellation     uint64
	// Recovering says that the sender does not know its machines yet.
	Recovering bool
}

// MachinesVersion is the view that a node has of another node's machines.
type MachinesVersion struct{ Number, FencingToken, Incarnation uint64 }

// Encode returns the FlatBuffers form.
func (s *Status) Encode() []byte {
	b := flatbuffers.NewBuilder(1024)
	hosts := make([]flatbuffers.UOffsetT, len(s.Machines))
	for i, h := range s.Machines {
		name := b.CreateString(h.Name)
		images := make([]flatbuffers.UOffsetT, len(h.Images))
		for k, im := range h.Images {
			images[k] = b.CreateString(im)
		}
		vec := offsetVector(b, images, fb.HostViewStartImagesVector)
		fb.HostViewStart(b)
		fb.HostViewAddName(b, name)
		fb.HostViewAddStint(b, h.Incarnation)
		fb.HostViewAddAgeMs(b, durationToMillis(h.SinceHeard))
		fb.HostViewAddSilent(b, h.Silent)
		fb.HostViewAddProven(b, h.TokenAcknowledged)
		fb.HostViewAddWarningMs(b, durationToMillis(h.TerminationNotice))
		fb.HostViewAddSuspect(b, h.Quarantined)
		fb.HostViewAddImages(b, vec)
		hosts[i] = fb.HostViewEnd(b)
	}
	vec := offsetVector(b, hosts, fb.StatusStartHostsVector)
	label := b.CreateString(s.Label)
	fb.StatusStart(b)
	fb.StatusAddLabel(b, label)
	fb.StatusAddIncarnation(b, s.Incarnation)
	fb.StatusAddBaton(b, s.FencingToken)
	fb.StatusAddEpoch(b, s.Revision)
	fb.StatusAddHasState(b, s.HasStore)
	fb.StatusAddWant(b, s.QueuedChanges)
	fb.StatusAddView(b, s.MachinesVersion)
	fb.StatusAddWhole(b, s.AllMachines)
	fb.StatusAddSeen(b, s.Known.Number)
	fb.StatusAddSeenBaton(b, s.Known.FencingToken)
	fb.StatusAddSeenIncarnation(b, s.Known.Incarnation)
	fb.StatusAddHosts(b, vec)
	fb.StatusAddCounts(b, s.ReportsCancellations)
	fb.StatusAddCancelled(b, s.LastCancellation)
	fb.StatusAddRecovering(b, s.Recovering)
	b.Finish(fb.StatusEnd(b))
	return b.FinishedBytes()
}

// DecodeStatus reads a status.
func DecodeStatus(b []byte) (s Status, err error) {
	defer recoverMalformed(&err)
	if len(b) < 8 {
		return s, ErrMalformed
	}
	f := fb.GetRootAsStatus(b, 0)
	s = Status{Label: string(f.Label()), Incarnation: f.Incarnation(), FencingToken: f.Baton(), Revision: f.Epoch(), HasStore: f.HasState(),
		ReportsCancellations: f.Counts(), LastCancellation: f.Cancelled(), Recovering: f.Recovering(), QueuedChanges: f.Want(), MachinesVersion: f.View(), AllMachines: f.Whole(), Known: MachinesVersion{f.Seen(), f.SeenBaton(), f.SeenIncarnation()}}
	if f.HostsLength() > len(b)/4 {
		return Status{}, ErrMalformed
	}
	for i := range f.HostsLength() {
		var h fb.HostView
		f.Hosts(&h, i)
		v := MachineStatus{Name: string(h.Name()), Incarnation: h.Stint(), SinceHeard: millisToDuration(h.AgeMs()), Silent: h.Silent(), TokenAcknowledged: h.Proven(),
			TerminationNotice: millisToDuration(h.WarningMs()), Quarantined: h.Suspect()}
		if h.ImagesLength() > len(b)/4 {
			return Status{}, ErrMalformed
		}
		for k := range h.ImagesLength() {
			v.Images = append(v.Images, string(h.Images(k)))
		}
		s.Machines = append(s.Machines, v)
	}
	return s, nil
}
