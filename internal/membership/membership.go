// Package membership decides who may act in the cluster: the state of a controller's
// session, the leader, the membership record and its fencing token, and which
// member owns which shard of the machines. It also decides when a controller counts
// as unreachable for its workers, and how far its siblings attest that it knows
// every cancellation.
//
// It is pure: state in, actions out. The controller keeps the state, reads and writes
// the keys, renews the lease and acts on the decisions. What a member does with its
// machines is no concern of this package.
package membership

import (
	"slices"

	"wheatspur/internal/jobs"
	"wheatspur/wire"
)

// Keys of the key-value store. All but the membership record's are attached to the
// lease of the controller that wrote them, and go with it.
const (
	Key               = jobs.Root + "member" // of the membership record
	LeaderKey         = jobs.Root + "lead"   // of the leader's Node
	SessionPrefix     = jobs.Root + "node/"
	UnreachablePrefix = jobs.Root + "deaf/"
)

// SessionKey is the key of a controller's session, attached to its lease.
func SessionKey(label string) string { return SessionPrefix + label }

// UnreachableKey is the key by which a controller tells that it hears no worker,
// attached to its lease.
func UnreachableKey(label string) string { return UnreachablePrefix + label }

// Node is one incarnation of a controller. Its number is the id of its lease, so a
// controller that has restarted, or whose lease has expired, is another Node.
type Node struct {
	Label       string `cbor:"l"`
	Incarnation uint64 `cbor:"i"`
}

// DecodeNode decodes the value of the leader's key, or the Node of a session.
func DecodeNode(raw wire.Raw) (*Node, error) { return decode[Node](raw) }

func decode[T any](raw wire.Raw) (*T, error) {
	var value T
	if err := wire.Unmarshal(raw, &value); err != nil {
		return nil, err
	}
	return &value, nil
}

// Record is the membership: which controllers may act, and under which fencing tokens.
// The leader writes a new one whenever a member comes, goes, restarts, or changes
// its reachability; each begins with the token after the last one of its
// predecessor.
type Record struct {
	// FencingToken is the first token of the membership.
	FencingToken uint64 `cbor:"b"`
	// Leader is the controller that wrote the record.
	Leader Node `cbor:"d"`
	// Nodes are the members, in order of their labels.
	Nodes []Node `cbor:"n"`
	// Unreachable lists the labels of the members that hear no worker and own no
	// machines.
	Unreachable []string `cbor:"f,omitempty"`
	// TokenRange is how many tokens from FencingToken on belong to this membership, if
	// all its members know of it: an owner raises the token of one of its machines
	// within it, to fence off commands that may still be on their way there.
	// Absent: one.
	TokenRange uint64 `cbor:"t,omitempty"`
}

// LastToken is the highest token of the membership.
func (r *Record) LastToken() uint64 { return r.FencingToken + max(r.TokenRange, 1) - 1 }

// Follows reports whether the membership is the one right after another, with none
// between.
func (r *Record) Follows(previous *Record) bool { return r.FencingToken == previous.LastToken()+1 }

// Contains reports whether a controller is a member, in this incarnation.
func (r *Record) Contains(node Node) bool { return slices.Contains(r.Nodes, node) }

// Labels lists the labels of the members.
func (r *Record) Labels() []string { return nodeLabels(r.Nodes) }

func nodeLabels(nodes []Node) []string {
	labels := make([]string, len(nodes))
	for i, node := range nodes {
		labels[i] = node.Label
	}
	return labels
}
