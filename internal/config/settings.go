package config

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"wheatspur/internal/tuning"
)

// Sibling is another controller of the cluster.
type Sibling struct {
	Label    string `toml:"label"`
	Domain   string `toml:"domain"`   // failure domain
	Endpoint string `toml:"endpoint"` // host:port of its peer server
}

// Team has a quota guarantee and a quota limit (Max) for each resource; 0 means none.
type Team struct {
	Name    string  `toml:"name"`
	CPUs    float64 `toml:"cpus"`
	CPUsMax float64 `toml:"cpus_max"`
	GPUs    float64 `toml:"gpus"`
	GPUsMax float64 `toml:"gpus_max"`
}

// Objective is one of the users' service-level objectives.
type Objective struct {
	Kind    string  `toml:"kind"`
	Class   string  `toml:"class"`
	WithinS float64 `toml:"within_s"`
	Share   float64 `toml:"share"`
}

// Settings are the settings of one controller, as the platform provides them. The suffixes S, Ms, KB
// and MB of field names are units: seconds, milliseconds, kilobytes and megabytes.
type Settings struct {
	Label      string    `toml:"label"`
	Domain     string    `toml:"domain"`
	Bind       string    `toml:"bind"`
	PeerListen string    `toml:"peer_listen"`
	Siblings   []Sibling `toml:"siblings"`
	Endpoints  struct {
		Cloud string `toml:"cloud"`
		State string `toml:"state"`
	} `toml:"endpoints"`
	Params struct {
		Count       int         `toml:"count"`
		Zones       []string    `toml:"zones"`
		TimeBoundMs float64     `toml:"time_bound_ms"`
		Teams       []Team      `toml:"teams"`
		Objectives  []Objective `toml:"objectives"`
		Workers     struct {
			ReportS float64 `toml:"report_s"`
			LeaseS  float64 `toml:"lease_s"`
			CancelS float64 `toml:"cancel_s"`
		} `toml:"workers"`
		State struct {
			StoreLimits
			// Next holds the limits that the key-value store will have at some later time. The change
			// is not announced. An absent limit does not change.
			Next *StoreLimits `toml:"next"`
		} `toml:"state"`
		Cloud struct {
			RPS      float64 `toml:"rps"`
			ListLagS float64 `toml:"list_lag_s"`
		} `toml:"cloud"`
		Limits struct {
			CPUShare       float64 `toml:"cpu_share"`
			MemMB          float64 `toml:"mem_mb"`
			MaxConnections int     `toml:"max_connections"`
		} `toml:"limits"`
	} `toml:"params"`

	// Operator holds the operators' settings, which Load reads from the properties file.
	Operator OperatorSettings `toml:"-"`
}

// Load reads and checks the settings file and the properties file. With an empty propertiesPath the
// properties have their defaults.
func Load(path, propertiesPath string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	s, err := Parse(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if s.Operator, err = LoadOperatorSettings(propertiesPath); err != nil {
		return nil, err
	}
	return s, nil
}

// Parse decodes and checks a settings file. Unknown fields are ignored.
func Parse(text []byte) (*Settings, error) {
	var s Settings
	if err := toml.Unmarshal(text, &s); err != nil {
		return nil, withPosition(err)
	}
	return &s, s.check()
}

// withPosition adds the line, the column and the key to an error of the TOML decoder.
func withPosition(err error) error {
	decodeError, ok := errors.AsType[*toml.DecodeError](err)
	if !ok {
		return err
	}
	row, column := decodeError.Position()
	key := strings.Join(decodeError.Key(), ".")
	if key != "" {
		key += ": "
	}
	return fmt.Errorf("line %d column %d: %s%w", row, column, key, decodeError)
}

// WorkerLease returns the duration after which a worker's lease expires unless it is renewed.
func (s *Settings) WorkerLease() time.Duration { return Seconds(s.Params.Workers.LeaseS) }

// HeartbeatInterval returns the interval between a worker's heartbeats.
func (s *Settings) HeartbeatInterval() time.Duration { return Seconds(s.Params.Workers.ReportS) }

// RenewalBound returns how long a controller may keep renewing workers' leases after the time up to
// which it knows every cancellation. The last lease that it renews must expire before cancel_s has
// passed, even on a worker whose clock drifts, so that a cancellation unknown to the controller still
// takes effect in time.
func (s *Settings) RenewalBound() time.Duration {
	workers := &s.Params.Workers
	return max(Seconds(workers.CancelS-workers.LeaseS*tuning.DriftFactor)-tuning.CancelMargin, 0)
}

// Team returns the team with the given name and whether there is one.
func (s *Settings) Team(name string) (Team, bool) {
	for _, team := range s.Params.Teams {
		if team.Name == name {
			return team, true
		}
	}
	return Team{}, false
}

// Seconds converts a number of seconds to a duration.
func Seconds(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}
