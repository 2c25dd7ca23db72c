package config

import (
	"errors"
	"fmt"
	"net"
	"strings"

	"wheatspur/internal/jobs"
	"wheatspur/internal/tuning"
)

// check returns an error for the first invalid field, prefixed with the field's name.
func (s *Settings) check() error {
	checks := []func() error{
		s.checkAddresses,
		s.checkSiblings,
		s.checkTeams,
		s.checkRanges,
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

// checkAddresses checks that this controller's label is set and that its addresses have the form
// host:port.
func (s *Settings) checkAddresses() error {
	if s.Label == "" {
		return errors.New("label: must be set")
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

// checkAddress checks that an address has the form host:port.
func checkAddress(field, address string) error {
	if address == "" {
		return fmt.Errorf("%s: must be set", field)
	}
	if _, _, err := net.SplitHostPort(address); err != nil {
		return fmt.Errorf("%s: %q is not a host:port address", field, address)
	}
	return nil
}

// checkSiblings checks that every controller has a unique label and that every other controller has a
// valid endpoint.
func (s *Settings) checkSiblings() error {
	seen := map[string]bool{s.Label: true}
	for i, sibling := range s.Siblings {
		field := fmt.Sprintf("siblings[%d]", i)
		if sibling.Label == "" {
			return fmt.Errorf("%s.label: must be set", field)
		}
		if seen[sibling.Label] {
			return fmt.Errorf("%s.label: duplicate label %q", field, sibling.Label)
		}
		seen[sibling.Label] = true
		if err := checkAddress(field+".endpoint", sibling.Endpoint); err != nil {
			return err
		}
	}
	return nil
}

// checkTeams checks that team names are unique and usable in keys of the key-value store, and that no
// quota is negative.
func (s *Settings) checkTeams() error {
	seen := map[string]bool{}
	for i, team := range s.Params.Teams {
		field := fmt.Sprintf("params.teams[%d]", i)
		if team.Name == "" || strings.ContainsAny(team.Name, " /") {
			return fmt.Errorf("%s.name: %q is not a valid team name (must be non-empty, without spaces or slashes)", field, team.Name)
		}
		if seen[team.Name] {
			return fmt.Errorf("%s.name: duplicate team name %q", field, team.Name)
		}
		seen[team.Name] = true
		if team.CPUs < 0 || team.CPUsMax < 0 || team.GPUs < 0 || team.GPUsMax < 0 {
			return fmt.Errorf("%s: amounts must not be negative", field)
		}
	}
	return nil
}

// fieldRange is a field's value with the range, inclusive, in which it must lie.
type fieldRange struct {
	field            string
	value            float64
	minimum, maximum float64
}

// check returns an error if the value is outside its range or NaN.
func (r fieldRange) check() error {
	if r.value >= r.minimum && r.value <= r.maximum {
		return nil
	}
	return fmt.Errorf("%s: %v is not between %v and %v", r.field, r.value, r.minimum, r.maximum)
}

// checkRanges checks the fields that must lie in a range. Besides the present limits of the key-value
// store it checks those in effect once state.next applies, so that an unusable limit is rejected at
// startup and not when it takes effect.
func (s *Settings) checkRanges() error {
	next := s.Params.State.Next
	if next != nil && next.anyNegative() {
		return errors.New("params.state.next: limits must not be negative")
	}
	ranges := s.paramRanges()
	ranges = append(ranges, s.Params.State.ranges("params.state.")...)
	if next != nil {
		limits := s.EffectiveStoreLimits()
		ranges = append(ranges, limits.ranges("params.state.next.")...)
	}
	for _, r := range ranges {
		if err := r.check(); err != nil {
			return err
		}
	}
	return nil
}

// paramRanges returns the ranges of all parameters except the key-value store's limits.
func (s *Settings) paramRanges() []fieldRange {
	p := &s.Params
	return []fieldRange{
		{"params.workers.report_s", p.Workers.ReportS, 0.1, 3600},
		{"params.workers.lease_s", p.Workers.LeaseS, 1, 86400},
		{"params.workers.cancel_s", p.Workers.CancelS, 1, 86400},
		{"params.cloud.rps", p.Cloud.RPS, 0.1, 1e6},
		{"params.cloud.list_lag_s", p.Cloud.ListLagS, 0, 3600},
		{"params.limits.mem_mb", p.Limits.MemMB, 16, 1e7},
		{"params.limits.max_connections", float64(p.Limits.MaxConnections), 32, 1e7},
	}
}

// checkValueSize checks that the value size limit of the key-value store admits the records that
// cannot be split over several values. If state.next lowers the limit, chunk records written under the
// present limit must remain writable.
func (s *Settings) checkValueSize() error {
	present, smallest := s.Params.State.ValueKB, s.EffectiveStoreLimits().ValueKB
	field := "params.state.value_kb"
	if smallest < present {
		field = "params.state.next.value_kb"
		if need := jobs.MinValueBytes(present); float64(need) > smallest*tuning.BytesPerKB {
			return fmt.Errorf("%s: %v is too small for the chunk records written under params.state.value_kb (%d bytes)", field, smallest, need)
		}
	}
	controllers := len(s.Siblings) + 1
	if need := s.controllersRecordBytes(); float64(need) > smallest*tuning.BytesPerKB {
		return fmt.Errorf("%s: %v is too small for a record that names %d controllers (%d bytes)", field, smallest, controllers, need)
	}
	return nil
}

// Upper bounds, in bytes, of the JSON encoding of a record with one entry for each controller.
const (
	recordOverheadBytes = 160 // everything except the entries
	entryOverheadBytes  = 64  // one entry without the controller's label
)

// controllersRecordBytes returns an upper bound on the size of a record that names every controller.
// The shares of a team's quota limit and the membership are such records, each stored in one value.
func (s *Settings) controllersRecordBytes() int {
	size := recordOverheadBytes + len(s.Label) + entryOverheadBytes
	for _, sibling := range s.Siblings {
		size += len(sibling.Label) + entryOverheadBytes
	}
	return size
}

// checkLease checks that lease_s is shorter than cancel_s, so that a worker's lease can expire within
// the time in which a cancellation must take effect.
func (s *Settings) checkLease() error {
	if s.Params.Workers.CancelS <= s.Params.Workers.LeaseS {
		return errors.New("params.workers.cancel_s: must exceed lease_s")
	}
	return nil
}
