// Package member decides sessions, leadership, the membership record and
// which node owns which machine. It is pure: state in, actions out.
package membership

import (
	"wheatspur/internal/jobs"
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

// DecodeNode reads a session or the lead key.
func DecodeNode(raw wire.Raw) (*Node, error) {
	var n Node
	if err := wire.Unmarshal(raw, &n); err != nil {
		return nil, err
	}
	return &n, nil
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
