package peer

import (
	"time"

	flatbuffers "github.com/google/flatbuffers/go"

	"wheatspur/internal/peer/fb"
)

// MachineStatus is what a controller reports about one of its machines.
type MachineStatus struct {
	Name              string
	Incarnation       uint64        // incarnation of its worker
	SilentFor         time.Duration // time from its last message until the sender last recorded a change; valid only if Silent is set
	Silent            bool          // sent no message for longer than the heartbeat interval allows
	TokenAcknowledged bool          // the worker has acknowledged the current fencing token in this incarnation
	TerminationNotice time.Duration // 0 if the cloud has announced the machine's termination; negative if not
	Quarantined       bool
	Images            []string
}

// Status is what a controller reports about itself and its machines.
type Status struct {
	Label                 string
	Incarnation           uint64
	FencingToken          uint64
	Revision              uint64          // revision of its cache of the key-value store
	HasStore              bool            // has recently read the key-value store, and its cache of it is consistent
	QueuedWrites          uint32          // writes that wait for its share of the store's write rate
	MachinesVersionNumber uint64          // Number of the sender's MachinesVersion
	AllMachines           bool            // Machines holds all machines, not only the changed ones
	KnownMachines         MachinesVersion // version of the receiver's machines that the sender knows
	Machines              []MachineStatus
	// LastCancellation is the version of the last cancellation that the sender knows. It is
	// valid only if ReportsCancellations is set: it is not set while the sender's cache is
	// inconsistent, nor by earlier releases.
	ReportsCancellations bool
	LastCancellation     uint64
	// Recovering reports that the sender does not know the state of all its machines yet.
	Recovering bool
}

// MachinesVersion identifies a version of a controller's view of its machines. Number is
// counted separately for each incarnation and fencing token of that controller.
type MachinesVersion struct{ Number, FencingToken, Incarnation uint64 }

// initialStatusSize is the initial size of the builder's buffer, which grows as needed.
const initialStatusSize = 1024

// Encode returns the status as a FlatBuffers message.
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
	fb.StatusAddView(b, s.MachinesVersionNumber)
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

// DecodeStatus decodes a status. The result shares no memory with the message.
func DecodeStatus(message []byte) (s Status, err error) {
	defer recoverMalformed(&err)
	if len(message) < minMessageSize {
		return s, ErrMalformed
	}
	table := fb.GetRootAsStatus(message, 0)
	s = Status{
		Label:                 string(table.Label()),
		Incarnation:           table.Incarnation(),
		FencingToken:          table.Baton(),
		Revision:              table.Epoch(),
		HasStore:              table.HasState(),
		QueuedWrites:          table.Want(),
		MachinesVersionNumber: table.View(),
		AllMachines:           table.Whole(),
		KnownMachines:         MachinesVersion{Number: table.Seen(), FencingToken: table.SeenBaton(), Incarnation: table.SeenIncarnation()},
		ReportsCancellations:  table.Counts(),
		LastCancellation:      table.Cancelled(),
		Recovering:            table.Recovering(),
	}
	if err := checkVectorLength(table.HostsLength(), message); err != nil {
		return Status{}, err
	}
	for i := range table.HostsLength() {
		var hostTable fb.HostView
		table.Hosts(&hostTable, i)
		machine, err := decodeMachine(&hostTable, message)
		if err != nil {
			return Status{}, err
		}
		s.Machines = append(s.Machines, machine)
	}
	return s, nil
}

// decodeMachine decodes one machine of the status in message.
func decodeMachine(table *fb.HostView, message []byte) (MachineStatus, error) {
	m := MachineStatus{
		Name:              string(table.Name()),
		Incarnation:       table.Stint(),
		SilentFor:         millisToDuration(table.AgeMs()),
		Silent:            table.Silent(),
		TokenAcknowledged: table.Proven(),
		TerminationNotice: millisToDuration(table.WarningMs()),
		Quarantined:       table.Suspect(),
	}
	if err := checkVectorLength(table.ImagesLength(), message); err != nil {
		return MachineStatus{}, err
	}
	for i := range table.ImagesLength() {
		m.Images = append(m.Images, string(table.Images(i)))
	}
	return m, nil
}
