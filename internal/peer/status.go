package peer

import (
	"time"

	flatbuffers "github.com/google/flatbuffers/go"

	"wheatspur/internal/peer/fb"
)

// MachineStatus is what a controller says about one of its machines.
type MachineStatus struct {
	Name              string
	Incarnation       uint64        // of its worker
	SilentFor         time.Duration // since its last message, if silent
	Silent            bool          // not heard for longer than its heartbeats allow
	TokenAcknowledged bool          // has acknowledged the current fencing token in its incarnation
	TerminationNotice time.Duration // until the cloud terminates it; negative: no notice
	Quarantined       bool
	Images            []string
}

// Status is what a controller says about itself.
type Status struct {
	Label           string
	Incarnation     uint64
	FencingToken    uint64
	Revision        uint64          // of its cache of the key-value store
	HasStore        bool            // has had a fresh read lately
	QueuedWrites    uint32          // writes that wait for its part of the store's rate limit
	MachinesVersion uint64          // number of the sender's view of its machines
	AllMachines     bool            // Machines are all of them, not those that changed
	KnownMachines   MachinesVersion // the view that the sender has of the receiver's machines
	Machines        []MachineStatus
	// LastCancellation is the version of the last cancellation that the sender
	// knows, if ReportsCancellations is set: earlier versions don't report it.
	ReportsCancellations bool
	LastCancellation     uint64
	// Recovering says that the sender does not know its machines yet.
	Recovering bool
}

// MachinesVersion is the view that a controller has of a sibling's machines. Its
// Number counts within one incarnation and fencing token of the sibling.
type MachinesVersion struct{ Number, FencingToken, Incarnation uint64 }

// initialStatusSize is the builder's buffer at the start; it grows.
const initialStatusSize = 1024

// Encode returns the FlatBuffers form.
func (s *Status) Encode() []byte {
	b := flatbuffers.NewBuilder(initialStatusSize)
	offsets := make([]flatbuffers.UOffsetT, len(s.Machines))
	for i := range s.Machines {
		offsets[i] = s.Machines[i].encode(b)
	}
	machines := offsetVector(b, offsets, fb.StatusStartHostsVector)
	label := b.CreateString(s.Label)
	fb.StatusStart(b)
	fb.StatusAddLabel(b, label)
	fb.StatusAddIncarnation(b, s.Incarnation)
	fb.StatusAddBaton(b, s.FencingToken)
	fb.StatusAddEpoch(b, s.Revision)
	fb.StatusAddHasState(b, s.HasStore)
	fb.StatusAddWant(b, s.QueuedWrites)
	fb.StatusAddView(b, s.MachinesVersion)
	fb.StatusAddWhole(b, s.AllMachines)
	fb.StatusAddSeen(b, s.KnownMachines.Number)
	fb.StatusAddSeenBaton(b, s.KnownMachines.FencingToken)
	fb.StatusAddSeenIncarnation(b, s.KnownMachines.Incarnation)
	fb.StatusAddHosts(b, machines)
	fb.StatusAddCounts(b, s.ReportsCancellations)
	fb.StatusAddCancelled(b, s.LastCancellation)
	fb.StatusAddRecovering(b, s.Recovering)
	b.Finish(fb.StatusEnd(b))
	return b.FinishedBytes()
}

func (m *MachineStatus) encode(b *flatbuffers.Builder) flatbuffers.UOffsetT {
	name := b.CreateString(m.Name)
	offsets := make([]flatbuffers.UOffsetT, len(m.Images))
	for i, image := range m.Images {
		offsets[i] = b.CreateString(image)
	}
	images := offsetVector(b, offsets, fb.HostViewStartImagesVector)
	fb.HostViewStart(b)
	fb.HostViewAddName(b, name)
	fb.HostViewAddStint(b, m.Incarnation)
	fb.HostViewAddAgeMs(b, durationToMillis(m.SilentFor))
	fb.HostViewAddSilent(b, m.Silent)
	fb.HostViewAddProven(b, m.TokenAcknowledged)
	fb.HostViewAddWarningMs(b, durationToMillis(m.TerminationNotice))
	fb.HostViewAddSuspect(b, m.Quarantined)
	fb.HostViewAddImages(b, images)
	return fb.HostViewEnd(b)
}

// DecodeStatus reads a status.
func DecodeStatus(message []byte) (s Status, err error) {
	defer recoverMalformed(&err)
	if len(message) < minMessageSize {
		return s, ErrMalformed
	}
	f := fb.GetRootAsStatus(message, 0)
	s = Status{
		Label:                string(f.Label()),
		Incarnation:          f.Incarnation(),
		FencingToken:         f.Baton(),
		Revision:             f.Epoch(),
		HasStore:             f.HasState(),
		QueuedWrites:         f.Want(),
		MachinesVersion:      f.View(),
		AllMachines:          f.Whole(),
		KnownMachines:        MachinesVersion{Number: f.Seen(), FencingToken: f.SeenBaton(), Incarnation: f.SeenIncarnation()},
		ReportsCancellations: f.Counts(),
		LastCancellation:     f.Cancelled(),
		Recovering:           f.Recovering(),
	}
	if err := checkVectorLength(f.HostsLength(), message); err != nil {
		return Status{}, err
	}
	for i := range f.HostsLength() {
		var view fb.HostView
		f.Hosts(&view, i)
		machine, err := decodeMachine(&view, message)
		if err != nil {
			return Status{}, err
		}
		s.Machines = append(s.Machines, machine)
	}
	return s, nil
}

// decodeMachine reads a machine of a status, whose bytes are message.
func decodeMachine(f *fb.HostView, message []byte) (MachineStatus, error) {
	m := MachineStatus{
		Name:              string(f.Name()),
		Incarnation:       f.Stint(),
		SilentFor:         millisToDuration(f.AgeMs()),
		Silent:            f.Silent(),
		TokenAcknowledged: f.Proven(),
		TerminationNotice: millisToDuration(f.WarningMs()),
		Quarantined:       f.Suspect(),
	}
	if err := checkVectorLength(f.ImagesLength(), message); err != nil {
		return MachineStatus{}, err
	}
	for i := range f.ImagesLength() {
		m.Images = append(m.Images, string(f.Images(i)))
	}
	return m, nil
}
