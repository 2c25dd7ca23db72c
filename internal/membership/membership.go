// Package member decides sessions, leadership, the membership record and
// which node owns which machine. It is pure: state in, actions out.
package membership

import (
	"hash/fnv"
	"sort"
	"time"

	"wheatspur/internal/jobs"
	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

// Keys of the state service.
const (
	Key               = jobs.Root + "member"
	LeaderKey         = jobs.Root + "lead"
	SessionPrefix     = jobs.Root + "node/"
	UnreachablePrefix = jobs.Root + "deaf/"
)

// SessionKey is the key of a node's session, attached to its lease.
func SessionKey(label string) string { return SessionPrefix + label }

// UnreachableKey is the key by which a node tells that it hears no worker, attached
// to its lease.
func UnreachableKey(label string) string { return UnreachablePrefix + label }

// Node is one incarnation of a controller; a restarted node is another.
type Node struct {
	Label       string `cbor:"l"`
	Incarnation uint64 `cbor:"i"`
}

// CurrentFormat is the number of the stored forms that this program reads and writes.
// 1: pipelines (jobs that are stored waiting). 2: memberships that span several
// tokens. It stands beside the node in its
// session's key alone, so that versions which know no forms, and say none,
// compare nodes as ever.
const CurrentFormat = 2

// Forms that a node has to know for a thing to be done.
const (
	FormatDependencies = 1
	FormatTokenRanges  = 2
)

// Session is the stored form of a node's session.
type Session struct {
	Node
	Format         uint64 `cbor:"v,omitempty"`
	ProgramVersion string `cbor:"s,omitempty"` // of the program, for operators
}

// Record is the membership: who is entitled to act, and with which token.
type Record struct {
	FencingToken uint64 `cbor:"b"`
	Leader       Node   `cbor:"d"`
	Nodes        []Node `cbor:"n"`
	// Unreachable members hear no worker and own no machines.
	Unreachable []string `cbor:"f,omitempty"`
	// TokenRange is how many tokens from Baton on are this membership's, if all its
	// members know of it: an owner raises the token of one of its machines within
	// it, to make void what may still be on its way there. Absent: one.
	TokenRange uint64 `cbor:"t,omitempty"`
}

// LastToken is the highest token of the membership.
func (r *Record) LastToken() uint64 { return r.FencingToken + max(r.TokenRange, 1) - 1 }

// Follows reports whether the membership is the one right after another.
func (r *Record) Follows(last *Record) bool { return r.FencingToken == last.LastToken()+1 }

func (r *Record) isUnreachable(label string) bool {
	for _, l := range r.Unreachable {
		if l == label {
			return true
		}
	}
	return false
}

// Contains reports whether a node is a member.
func (r *Record) Contains(n Node) bool {
	for _, m := range r.Nodes {
		if m == n {
			return true
		}
	}
	return false
}

// Labels lists the labels of the members.
func (r *Record) Labels() []string {
	labels := make([]string, len(r.Nodes))
	for i, n := range r.Nodes {
		labels[i] = n.Label
	}
	return labels
}

// Owner is the member that a machine is hashed to: the one with the highest
// rendezvous weight.
func (r *Record) Owner(host string) string {
	best, top := "", uint64(0)
	for _, n := range r.Nodes {
		if r.isUnreachable(n.Label) {
			continue
		}
		if w := weight(host, n.Label); best == "" || w > top || w == top && n.Label < best {
			best, top = n.Label, w
		}
	}
	return best
}

// RankNodes returns the members in the order in which they take a job's tasks.
func (r *Record) RankNodes(jobID string) []string {
	nodes := append([]Node(nil), r.Nodes...)
	sort.Slice(nodes, func(a, b int) bool {
		wa, wb := weight(jobID, nodes[a].Label), weight(jobID, nodes[b].Label)
		if wa != wb {
			return wa > wb
		}
		return nodes[a].Label < nodes[b].Label
	})
	out := make([]string, len(nodes))
	for i, n := range nodes {
		out[i] = n.Label
	}
	return out
}

func weight(key, label string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(key))
	h.Write([]byte{0})
	h.Write([]byte(label))
	// FNV's low-entropy inputs need a final mix to spread evenly.
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// SessionState is the state of a node's own session.
type SessionState string

// States of a session.
const (
	NoLease    SessionState = "no lease"
	Leased     SessionState = "leased"     // lease held, not yet registered
	Registered SessionState = "registered" // session key stored
)

// SessionEvent changes a session.
type SessionEvent string

// Events of a session.
const (
	LeaseGranted  SessionEvent = "got lease"
	SessionStored SessionEvent = "stored"
	LeaseExpired  SessionEvent = "lease ended"
)

// Next is the one function that changes a session's state.
func (s SessionState) Next(e SessionEvent) SessionState {
	switch {
	case e == LeaseExpired:
		return NoLease
	case s == NoLease && e == LeaseGranted:
		return Leased
	case s == Leased && e == SessionStored:
		return Registered
	}
	return s
}

// View is what the decisions are made from.
type View struct {
	Self                 Node
	Sessions             map[string]Node // stored sessions by label
	Unreachable          map[string]bool // nodes that hear no worker
	Leader               *Node           // holder of the lead key, nil if none
	Membership           *Record         // nil before the first
	TokenRangesSupported bool            // every node with a session knows of spans of tokens
}

// Action is what a node should do about membership.
type Action struct {
	BecomeLeader    bool
	WriteMembership *Record
}

// Decide returns the next step for a registered node.
func Decide(v View) Action {
	if v.Sessions[v.Self.Label] != v.Self {
		return Action{}
	}
	if v.Leader == nil || v.Leader.Label == v.Self.Label && v.Leader.Incarnation != v.Self.Incarnation {
		// No leader, or it was this node's former process, which is gone.
		return Action{BecomeLeader: true}
	}
	if *v.Leader != v.Self {
		return Action{}
	}
	want := Record{FencingToken: 1, Leader: v.Self}
	for _, n := range v.Sessions {
		want.Nodes = append(want.Nodes, n)
	}
	sort.Slice(want.Nodes, func(a, b int) bool { return want.Nodes[a].Label < want.Nodes[b].Label })
	for _, n := range want.Nodes {
		if v.Unreachable[n.Label] {
			want.Unreachable = append(want.Unreachable, n.Label)
		}
	}
	if len(want.Unreachable) == len(want.Nodes) {
		want.Unreachable = nil // somebody must own the machines
	}
	if v.Membership != nil {
		if sameMembership(*v.Membership, want) {
			return Action{}
		}
		want.FencingToken = v.Membership.LastToken() + 1
	}
	if v.TokenRangesSupported {
		want.TokenRange = tuning.TokenSpan
	}
	return Action{WriteMembership: &want}
}

func sameMembership(a, b Record) bool {
	if a.Leader != b.Leader || len(a.Nodes) != len(b.Nodes) || len(a.Unreachable) != len(b.Unreachable) {
		return false
	}
	for i := range a.Unreachable {
		if a.Unreachable[i] != b.Unreachable[i] {
			return false
		}
	}
	for i := range a.Nodes {
		if a.Nodes[i] != b.Nodes[i] {
			return false
		}
	}
	return true
}

// Reachability is what a node knows of whether its workers reach it.
type Reachability struct {
	Unreachable       bool // it has said so
	Heard             int  // machines of its own that were heard lately
	Silent            int  // machines of its own with tasks that were not
	SiblingsReachable bool // a sibling hears its machines
	Answered          bool // while unreachable: a worker answers a probe, or there is none to ask
}

// NextUnreachable decides whether the node is unreachable. One silent machine may be its own
// trouble; all of several, while a sibling hears its own, are the node's.
func (e Reachability) NextUnreachable() bool {
	if e.Unreachable {
		return !e.Answered
	}
	return e.Heard == 0 && e.Silent >= 2 && e.SiblingsReachable
}

// DecodeNode reads a session or the lead key.
func DecodeNode(raw wire.Raw) (*Node, error) {
	var n Node
	if err := wire.Unmarshal(raw, &n); err != nil {
		return nil, err
	}
	return &n, nil
}

// DecodeSession reads a session.
func DecodeSession(raw wire.Raw) (*Session, error) {
	var s Session
	if err := wire.Unmarshal(raw, &s); err != nil {
		return nil, err
	}
	return &s, nil
}

// AllSupport reports whether every member has told, in the session of its present
// incarnation, that it reads a form.
func (r *Record) AllSupport(form uint64, sessions map[string]Session) bool {
	for _, m := range r.Nodes {
		if s, ok := sessions[m.Label]; !ok || s.Node != m || s.Format < form {
			return false
		}
	}
	return true
}

// Attestation is what a node has heard of a sibling about cancellations.
type Attestation struct {
	Incarnation      uint64    // of the sibling; 0: nothing that counts
	Since            time.Time // when this incarnation was first heard
	AskedAt          time.Time // when the last asking that was answered was sent
	LastCancellation uint64    // version of the last cancellation that the sibling knew then
}

// Update is the attestation after an answer that came now to an asking sent before.
func (w Attestation) Update(incarnation, cancelled uint64, asked, now time.Time) Attestation {
	if w.Incarnation != incarnation {
		w = Attestation{Incarnation: incarnation, Since: now}
	}
	if asked.After(w.AskedAt) {
		w.AskedAt = asked
	}
	w.LastCancellation = max(w.LastCancellation, cancelled)
	return w
}

// CancellationsKnownUntil is the time up to which a node knows every cancellation that any
// user was told of: the sending of its last answered read, or the least of the
// times at which it asked its siblings, if each of them attests. revision is the
// revision to which its cache is complete. The argument is in
// docs/protocol-notes.md; a sibling that is new since the read may follow on a
// process that confirmed what nobody here has read.
func CancellationsKnownUntil(read time.Time, revision uint64, siblings []Attestation) time.Time {
	if len(siblings) == 0 {
		return read
	}
	until := siblings[0].AskedAt
	for _, w := range siblings {
		if w.Incarnation == 0 || !w.Since.Before(read) || w.LastCancellation > revision {
			return read
		}
		if w.AskedAt.Before(until) {
			until = w.AskedAt
		}
	}
	if until.Before(read) {
		return read
	}
	return until
}
