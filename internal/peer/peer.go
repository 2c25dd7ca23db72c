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

	"wheatspur/internal/httpc"
	"wheatspur/internal/peer/fb"
	"wheatspur/internal/tuning"
)

// Paths of the peer server.
const (
	// Path is where nodes post their status.
	Path = "/peer/status"
	// ForwardPath is where nodes post users' requests that they can't serve.
	ForwardPath = "/peer/forward"
)

// Host is what a node tells about one of its machines.
type Host struct {
	Name    string
	Session uint64
	Age     time.Duration // since its last message, if silent
	Silent  bool          // not heard for longer than its reports allow
	Proven  bool
	Notice  time.Duration // negative: no notice
	Suspect bool
	Images  []string
}

// Status is what a node tells about itself.
type Status struct {
	Label         string
	Incarnation   uint64
	Token         uint64
	Revision      uint64
	HasState      bool
	QueuedChanges uint32 // changes of the state service that wait for its budget
	View          uint64 // number of the sender's view of its machines
	Whole         bool   // Hosts are all machines, not those that changed
	Seen          Seen   // what the sender has of the receiver
	Hosts         []Host
	// Cancelled is the version of the last cancellation that the sender knows, if
	// it Counts them: earlier versions don't.
	Counts    bool
	Cancelled uint64
	// Recovering says that the sender does not know its machines yet.
	Recovering bool
}

// Seen is the view that a node has of another node's machines.
type Seen struct{ View, Token, Incarnation uint64 }

// Encode returns the FlatBuffers form.
func (s *Status) Encode() []byte {
	b := flatbuffers.NewBuilder(1024)
	hosts := make([]flatbuffers.UOffsetT, len(s.Hosts))
	for i, h := range s.Hosts {
		name := b.CreateString(h.Name)
		images := make([]flatbuffers.UOffsetT, len(h.Images))
		for k, im := range h.Images {
			images[k] = b.CreateString(im)
		}
		vec := vector(b, images, fb.HostViewStartImagesVector)
		fb.HostViewStart(b)
		fb.HostViewAddName(b, name)
		fb.HostViewAddStint(b, h.Session)
		fb.HostViewAddAgeMs(b, millis(h.Age))
		fb.HostViewAddSilent(b, h.Silent)
		fb.HostViewAddProven(b, h.Proven)
		fb.HostViewAddWarningMs(b, millis(h.Notice))
		fb.HostViewAddSuspect(b, h.Suspect)
		fb.HostViewAddImages(b, vec)
		hosts[i] = fb.HostViewEnd(b)
	}
	vec := vector(b, hosts, fb.StatusStartHostsVector)
	label := b.CreateString(s.Label)
	fb.StatusStart(b)
	fb.StatusAddLabel(b, label)
	fb.StatusAddIncarnation(b, s.Incarnation)
	fb.StatusAddBaton(b, s.Token)
	fb.StatusAddEpoch(b, s.Revision)
	fb.StatusAddHasState(b, s.HasState)
	fb.StatusAddWant(b, s.QueuedChanges)
	fb.StatusAddView(b, s.View)
	fb.StatusAddWhole(b, s.Whole)
	fb.StatusAddSeen(b, s.Seen.View)
	fb.StatusAddSeenBaton(b, s.Seen.Token)
	fb.StatusAddSeenIncarnation(b, s.Seen.Incarnation)
	fb.StatusAddHosts(b, vec)
	fb.StatusAddCounts(b, s.Counts)
	fb.StatusAddCancelled(b, s.Cancelled)
	fb.StatusAddRecovering(b, s.Recovering)
	b.Finish(fb.StatusEnd(b))
	return b.FinishedBytes()
}

func vector(b *flatbuffers.Builder, offs []flatbuffers.UOffsetT, start func(*flatbuffers.Builder, int) flatbuffers.UOffsetT) flatbuffers.UOffsetT {
	start(b, len(offs))
	for i := len(offs) - 1; i >= 0; i-- {
		b.PrependUOffsetT(offs[i])
	}
	return b.EndVector(len(offs))
}

func millis(d time.Duration) int64 {
	if d < 0 {
		return -1
	}
	return d.Milliseconds()
}

func span(ms int64) time.Duration {
	if ms < 0 {
		return -1
	}
	return time.Duration(ms) * time.Millisecond
}

// ErrMalformed says that a message could not be read.
var ErrMalformed = errors.New("malformed peer message")

// Decode reads a status.
func Decode(b []byte) (s Status, err error) {
	defer caught(&err)
	if len(b) < 8 {
		return s, ErrMalformed
	}
	f := fb.GetRootAsStatus(b, 0)
	s = Status{Label: string(f.Label()), Incarnation: f.Incarnation(), Token: f.Baton(), Revision: f.Epoch(), HasState: f.HasState(),
		Counts: f.Counts(), Cancelled: f.Cancelled(), Recovering: f.Recovering(), QueuedChanges: f.Want(), View: f.View(), Whole: f.Whole(), Seen: Seen{f.Seen(), f.SeenBaton(), f.SeenIncarnation()}}
	if f.HostsLength() > len(b)/4 {
		return Status{}, ErrMalformed
	}
	for i := range f.HostsLength() {
		var h fb.HostView
		f.Hosts(&h, i)
		v := Host{Name: string(h.Name()), Session: h.Stint(), Age: span(h.AgeMs()), Silent: h.Silent(), Proven: h.Proven(),
			Notice: span(h.WarningMs()), Suspect: h.Suspect()}
		if h.ImagesLength() > len(b)/4 {
			return Status{}, ErrMalformed
		}
		for k := range h.ImagesLength() {
			v.Images = append(v.Images, string(h.Images(k)))
		}
		s.Hosts = append(s.Hosts, v)
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
	return &Client{addr: addr, hc: httpc.Host(addr, tuning.PeerConns)}
}

// Request is a user's request that is passed on.
type Request struct {
	Method, Path string
	Body         []byte
}

// Encode returns the FlatBuffers form.
func (r *Request) Encode() []byte {
	b := flatbuffers.NewBuilder(len(r.Body) + 128)
	body, path, method := b.CreateByteVector(r.Body), b.CreateString(r.Path), b.CreateString(r.Method)
	fb.RequestStart(b)
	fb.RequestAddMethod(b, method)
	fb.RequestAddPath(b, path)
	fb.RequestAddBody(b, body)
	b.Finish(fb.RequestEnd(b))
	return b.FinishedBytes()
}

// DecodeRequest reads a request.
func DecodeRequest(b []byte) (r Request, err error) {
	defer caught(&err)
	if len(b) < 8 {
		return r, ErrMalformed
	}
	f := fb.GetRootAsRequest(b, 0)
	return Request{string(f.Method()), string(f.Path()), append([]byte(nil), f.BodyBytes()...)}, nil
}

// Reply is the answer to it.
type Reply struct {
	Status     int
	RetryAfter string
	Body       []byte
}

// Encode returns the FlatBuffers form.
func (r *Reply) Encode() []byte {
	b := flatbuffers.NewBuilder(len(r.Body) + 64)
	body, after := b.CreateByteVector(r.Body), b.CreateString(r.RetryAfter)
	fb.ReplyStart(b)
	fb.ReplyAddStatus(b, int32(r.Status))
	fb.ReplyAddRetryAfter(b, after)
	fb.ReplyAddBody(b, body)
	b.Finish(fb.ReplyEnd(b))
	return b.FinishedBytes()
}

// DecodeReply reads a reply.
func DecodeReply(b []byte) (r Reply, err error) {
	defer caught(&err)
	if len(b) < 8 {
		return r, ErrMalformed
	}
	f := fb.GetRootAsReply(b, 0)
	return Reply{int(f.Status()), string(f.RetryAfter()), append([]byte(nil), f.BodyBytes()...)}, nil
}

// caught turns the panic of a bad offset into an error: FlatBuffers for Go has
// no verifier.
func caught(err *error) {
	if r := recover(); r != nil {
		*err = fmt.Errorf("%w: %v", ErrMalformed, r)
	}
}

// Exchange posts our status and returns the sibling's.
func (c *Client) Exchange(own []byte, timeout time.Duration) (Status, error) {
	b, err := c.post(Path, own, timeout)
	if err != nil {
		return Status{}, err
	}
	return Decode(b)
}

// Forward passes a user's request on and returns the sibling's answer.
func (c *Client) Forward(r Request, timeout time.Duration) (Reply, error) {
	b, err := c.post(ForwardPath, r.Encode(), timeout)
	if err != nil {
		return Reply{}, err
	}
	return DecodeReply(b)
}

func (c *Client) post(path string, body []byte, timeout time.Duration) ([]byte, error) {
	status, answer, err := httpc.Do(c.hc, "POST", c.addr, path, body, timeout)
	if err == nil && status != 200 {
		err = fmt.Errorf("sibling: status %d", status)
	}
	return answer, err
}
