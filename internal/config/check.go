package config

import (
	"errors"
	"fmt"
	"net"
	"strings"

	"wheatspur/internal/jobs"
)

// check returns the first fault, with the field's name.
func (s *Settings) check() error {
	checks := []func() error{
		s.checkAddresses,
		s.checkSiblings,
		s.checkTeams,
		s.checkBounds,
		s.checkValueSize,
		s.checkLease,
	}
	for _, check := range checks {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

// checkAddresses checks this node's label and the addresses it uses.
func (s *Settings) checkAddresses() error {
	if s.Label == "" {
		return errors.New("label: is missing")
	}
	addresses := []struct{ field, address string }{
		{"bind", s.Bind},
		{"peer_listen", s.PeerListen},
		{"endpoints.cloud", s.Endpoints.Cloud},
		{"endpoints.state", s.Endpoints.State},
	}
	for _, a := range addresses {
		if err := checkAddress(a.field, a.address); err != nil {
			return err
		}
	}
	return nil
}

func checkAddress(field, address string) error {
	if address == "" {
		return fmt.Errorf("%s: is missing", field)
	}
	if _, _, err := net.SplitHostPort(address); err != nil {
		return fmt.Errorf("%s: %q is no host:port", field, address)
	}
	return nil
}

// checkSiblings checks that the nodes have different labels, and addresses.
func (s *Settings) checkSiblings() error {
	seen := map[string]bool{s.Label: true}
	for i, sibling := range s.Siblings {
		field := fmt.Sprintf("siblings[%d]", i)
		if sibling.Label == "" {
			return fmt.Errorf("%s.label: is missing", field)
		}
		if seen[sibling.Label] {
			return fmt.Errorf("%s.label: %q is used twice", field, sibling.Label)
		}
		seen[sibling.Label] = true
		if err := checkAddress(field+".endpoint", sibling.Endpoint); err != nil {
			return err
		}
	}
	return nil
}

func (s *Settings) checkTeams() error {
	seen := map[string]bool{}
	for i, team := range s.Params.Teams {
		field := fmt.Sprintf("params.teams[%d]", i)
		if team.Name == "" || strings.ContainsAny(team.Name, " /") {
			return fmt.Errorf("%s.name: %q is no team name", field, team.Name)
		}
		if seen[team.Name] {
			return fmt.Errorf("%s.name: %q is used twice", field, team.Name)
		}
		seen[team.Name] = true
		if team.CPUs < 0 || team.CPUsMax < 0 || team.GPUs < 0 || team.GPUsMax < 0 {
			return fmt.Errorf("%s: negative amount", field)
		}
	}
	return nil
}

// bound is the range in which a field must lie.
type bound struct {
	field    string
	value    float64
	min, max float64
}

// check fails for NaN, too.
func (b bound) check() error {
	if b.value >= b.min && b.value <= b.max {
		return nil
	}
	return fmt.Errorf("%s: %v is not between %v and %v", b.field, b.value, b.min, b.max)
}

func (s *Settings) checkBounds() error {
	next := s.Params.State.Next
	if next != nil && next.negative() {
		return errors.New("params.state.next: holds a negative limit")
	}
	bounds := s.paramBounds()
	bounds = append(bounds, s.Params.State.bounds("params.state.")...)
	if next != nil {
		limits := s.StateLimits()
		bounds = append(bounds, limits.bounds("params.state.next.")...)
	}
	for _, b := range bounds {
		if err := b.check(); err != nil {
			return err
		}
	}
	return nil
}

// paramBounds are the bounds of all but the state service's limits.
func (s *Settings) paramBounds() []bound {
	p := &s.Params
	return []bound{
		{"params.workers.report_s", p.Workers.ReportS, 0.1, 3600},
		{"params.workers.lease_s", p.Workers.LeaseS, 1, 86400},
		{"params.workers.cancel_s", p.Workers.CancelS, 1, 86400},
		{"params.cloud.rps", p.Cloud.RPS, 0.1, 1e6},
		{"params.cloud.list_lag_s", p.Cloud.ListLagS, 0, 3600},
		{"params.limits.mem_mb", p.Limits.MemMB, 16, 1e7},
		{"params.limits.max_connections", float64(p.Limits.MaxConnections), 32, 1e7},
	}
}

// bytesPerKB is the state service's kilobyte.
const bytesPerKB = 1024

// checkValueSize checks that the state service's values hold what must stand
// in one of them.
func (s *Settings) checkValueSize() error {
	present, least := s.Params.State.ValueKB, s.StateLimits().ValueKB
	field := "params.state.value_kb"
	if least < present {
		field = "params.state.next.value_kb"
		if need := jobs.MinValueBytes(present); float64(need) > least*bytesPerKB {
			return fmt.Errorf("%s: %v does not hold the chunk records that were written under params.state.value_kb (%d bytes)", field, least, need)
		}
	}
	nodes := len(s.Siblings) + 1
	if need := s.nodesRecordBytes(); float64(need) > least*bytesPerKB {
		return fmt.Errorf("%s: %v is too small for a record that names %d nodes (%d bytes)", field, least, nodes, need)
	}
	return nil
}

// valueBase and valueNode bound the JSON of a record with an entry a node.
const (
	valueBase = 160
	valueNode = 64
)

// nodesRecordBytes bounds the size of a record that names every node: a team's
// limit is shared out, and the membership stored, in one value.
func (s *Settings) nodesRecordBytes() int {
	size := valueBase + len(s.Label) + valueNode
	for _, sibling := range s.Siblings {
		size += len(sibling.Label) + valueNode
	}
	return size
}

// checkLease checks that a lease ends before cancel_s has passed.
func (s *Settings) checkLease() error {
	if s.Params.Workers.CancelS <= s.Params.Workers.LeaseS {
		return errors.New("params.workers.cancel_s: must exceed lease_s")
	}
	return nil
}
