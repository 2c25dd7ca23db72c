// Package membership decides which controllers may act in the cluster: the state of a
// controller's session, the leader, the membership record and its fencing token, and which
// member owns which shard of the machines. It also decides when a controller counts as
// unreachable for its workers, and up to which time its siblings attest that it knows every
// cancellation.
//
// The package is pure: it takes state and returns actions. The controller keeps the state,
// reads and writes the keys, renews the lease and carries out the actions. What a member
// does with its machines is decided elsewhere.
package membership

import (
	"slices"

	"wheatspur/internal/jobs"
	"wheatspur/wire"
)

// Keys of the key-value store. All except the key of the membership record are attached to
// the lease of the controller that wrote them, and are deleted when the lease ends.
const (
	RecordKey         = jobs.RootPrefix + "member" // of the membership record
	LeaderKey         = jobs.RootPrefix + "lead"   // of the leader's Controller
	SessionPrefix     = jobs.RootPrefix + "node/"
	UnreachablePrefix = jobs.RootPrefix + "deaf/"
)

// SessionKey is the key of a controller's session, attached to its lease.
func SessionKey(label string) string { return SessionPrefix + label }

// UnreachableKey is the key with which a controller declares that no worker reaches it,
// attached to its lease.
func UnreachableKey(label string) string { return UnreachablePrefix + label }

// Controller is one incarnation of a controller. Incarnation is the ID of its lease, so a
// controller that has restarted, or whose lease has expired, becomes a different Controller.
type Controller struct {
	Label       string `cbor:"l"`
	Incarnation uint64 `cbor:"i"`
}

// DecodeController decodes the value of the leader key, or the Controller of a session.
func DecodeController(raw wire.Raw) (*Controller, error) { return decode[Controller](raw) }

func decode[T any](raw wire.Raw) (*T, error) {
	var value T
	if err := wire.Unmarshal(raw, &value); err != nil {
		return nil, err
	}
	return &value, nil
}

// Record is the membership: which controllers may act, and with which fencing tokens. The
// leader writes a new one whenever a member joins, leaves, restarts or changes its
// reachability. Its first token is the one after the last token of its predecessor.
type Record struct {
	// FencingToken names the membership and is the highest token that its members use. Program
	// versions without token ranges use it as the only one, and give the next membership the
	// token after it.
	FencingToken uint64 `cbor:"b"`
	// Leader is the controller that wrote the record.
	Leader Controller `cbor:"d"`
	// Members are sorted by label.
	Members []Controller `cbor:"n"`
	// Unreachable lists the labels of the members that no worker reaches, and that
	// therefore own no machines.
	Unreachable []string `cbor:"f,omitempty"`
	// TokensBelow is the number of tokens directly below FencingToken that belong to this
	// membership, too. The owner of a machine begins with the first of them and raises the
	// machine's token to fence off commands that may still be in flight.
	TokensBelow uint64 `cbor:"u,omitempty"`
	// TokenCount is the number of tokens, starting at FencingToken, that belong to this
	// membership, or 0 for one. Only earlier program versions write it. The next membership
	// begins after them, but no machine's token is raised to one of them: a version without
	// token ranges may give it to its next membership.
	TokenCount uint64 `cbor:"t,omitempty"`
}

// FirstToken returns the lowest token of the membership, with which the owner of a machine
// begins.
func (r *Record) FirstToken() uint64 { return r.FencingToken - r.TokensBelow }

// LastToken returns the highest token of the membership.
func (r *Record) LastToken() uint64 { return r.FencingToken + max(r.TokenCount, 1) - 1 }

// ImmediatelyFollows reports whether the membership is the immediate successor of previous.
func (r *Record) ImmediatelyFollows(previous *Record) bool {
	return r.FirstToken() == previous.LastToken()+1
}

// Contains reports whether this incarnation of a controller is a member.
func (r *Record) Contains(controller Controller) bool {
	return slices.Contains(r.Members, controller)
}

// Labels returns the labels of the members.
func (r *Record) Labels() []string { return memberLabels(r.Members) }

func memberLabels(members []Controller) []string {
	labels := make([]string, len(members))
	for i, member := range members {
		labels[i] = member.Label
	}
	return labels
}
