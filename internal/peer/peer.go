// Package peer is what controller nodes say to each other: every node posts
// its status to its siblings and gets theirs back, with the machines that have
// changed since it last did, as FlatBuffers. Nothing
// that the rules rest on travels this way; it is advice about liveness.
package peer

//go:generate flatc --go status.fbs

import (
	"errors"
	"fmt"
	"time"

	flatbuffers "github.com/google/flatbuffers/go"
	"github.com/valyala/fasthttp"

	"wheatspur/internal/httpclient"
	"wheatspur/internal/peer/fb"
	"wheatspur/internal/tuning"
)

// Paths of the peer server.
const (
	// StatusPath is where nodes post their status.
	StatusPath = "/peer/status"
	// ForwardPath is where nodes post users' requests that they can't serve.
	ForwardPath = "/peer/forward"
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

func offsetVector(b *flatbuffers.Builder, offs []flatbuffers.UOffsetT, start func(*flatbuffers.Builder, int) flatbuffers.UOffsetT) flatbuffers.UOffsetT {
	start(b, len(offs))
	for i := len(offs) - 1; i >= 0; i-- {
		b.PrependUOffsetT(offs[i])
	}
	return b.EndVector(len(offs))
}

func durationToMillis(d time.Duration) int64 {
	if d < 0 {
		return -1
	}
	return d.Milliseconds()
}

func millisToDuration(ms int64) time.Duration {
	if ms < 0 {
		return -1
	}
	return time.Duration(ms) * time.Millisecond
}

// ErrMalformed says that a message could not be read.
var ErrMalformed = errors.New("malformed peer message")

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

// Client exchanges statuses with one sibling.
type Client struct {
	addr string
	hc   *fasthttp.HostClient
}

// NewClient returns a client of the sibling at addr.
func NewClient(addr string) *Client {
	return &Client{addr: addr, hc: httpclient.Host(addr, tuning.PeerConns)}
}

// ForwardRequest is a user's request that is passed on.
type ForwardRequest struct {
	Method, Path string
	Body         []byte
}

// Encode returns the FlatBuffers form.
func (r *ForwardRequest) Encode() []byte {
	b := flatbuffers.NewBuilder(len(r.Body) + 128)
	body, path, method := b.CreateByteVector(r.Body), b.CreateString(r.Path), b.CreateString(r.Method)
	fb.RequestStart(b)
	fb.RequestAddMethod(b, method)
	fb.RequestAddPath(b, path)
	fb.RequestAddBody(b, body)
	b.Finish(fb.RequestEnd(b))
	return b.FinishedBytes()
}

// DecodeForwardRequest reads a request.
func DecodeForwardRequest(b []byte) (r ForwardRequest, err error) {
	defer recoverMalformed(&err)
	if len(b) < 8 {
		return r, ErrMalformed
	}
	f := fb.GetRootAsRequest(b, 0)
	return ForwardRequest{string(f.Method()), string(f.Path()), append([]byte(nil), f.BodyBytes()...)}, nil
}

// ForwardResponse is the answer to it.
type ForwardResponse struct {
	Status     int
	RetryAfter string
	Body       []byte
}

// Encode returns the FlatBuffers form.
func (r *ForwardResponse) Encode() []byte {
	b := flatbuffers.NewBuilder(len(r.Body) + 64)
	body, after := b.CreateByteVector(r.Body), b.CreateString(r.RetryAfter)
	fb.ReplyStart(b)
	fb.ReplyAddStatus(b, int32(r.Status))
	fb.ReplyAddRetryAfter(b, after)
	fb.ReplyAddBody(b, body)
	b.Finish(fb.ReplyEnd(b))
	return b.FinishedBytes()
}

// DecodeForwardResponse reads a reply.
func DecodeForwardResponse(b []byte) (r ForwardResponse, err error) {
	defer recoverMalformed(&err)
	if len(b) < 8 {
		return r, ErrMalformed
	}
	f := fb.GetRootAsReply(b, 0)
	return ForwardResponse{int(f.Status()), string(f.RetryAfter()), append([]byte(nil), f.BodyBytes()...)}, nil
}

// recoverMalformed turns the panic of a bad offset into an error: FlatBuffers for Go has
// no verifier.
func recoverMalformed(err *error) {
	if r := recover(); r != nil {
		*err = fmt.Errorf("%w: %v", ErrMalformed, r)
	}
}

// Exchange posts our status and returns the sibling's.
func (c *Client) Exchange(own []byte, timeout time.Duration) (Status, error) {
	b, err := c.post(StatusPath, own, timeout)
	if err != nil {
		return Status{}, err
	}
	return DecodeStatus(b)
}

// Forward passes a user's request on and returns the sibling's answer.
func (c *Client) Forward(r ForwardRequest, timeout time.Duration) (ForwardResponse, error) {
	b, err := c.post(ForwardPath, r.Encode(), timeout)
	if err != nil {
		return ForwardResponse{}, err
	}
	return DecodeForwardResponse(b)
}

func (c *Client) post(path string, body []byte, timeout time.Duration) ([]byte, error) {
	status, answer, err := httpclient.Do(c.hc, "POST", c.addr, path, body, timeout)
	if err == nil && status != 200 {
		err = fmt.Errorf("sibling: status %d", status)
	}
	return answer, err
}
