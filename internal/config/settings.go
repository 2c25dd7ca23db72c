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

// Sibling is another controller node.
type Sibling struct {
	Label    string `toml:"label"`
	Domain   string `toml:"domain"`
	Endpoint string `toml:"endpoint"`
}

// Team has a guarantee and a limit per resource; 0 means none.
type Team struct {
	Name    string  `toml:"name"`
	CPUs    float64 `toml:"cpus"`
	CPUsMax float64 `toml:"cpus_max"`
	GPUs    float64 `toml:"gpus"`
	GPUsMax float64 `toml:"gpus_max"`
}

// Objective is one of the users' aims.
type Objective struct {
	Kind    string  `toml:"kind"`
	Class   string  `toml:"class"`
	WithinS float64 `toml:"within_s"`
	Share   float64 `toml:"share"`
}

// Settings is what the platform hands over.
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
			Limits
			// Next holds the limits that the state service will have from some
			// moment on, which nobody tells; what is absent stays as it is.
			Next *Limits `toml:"next"`
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

	Operator Operator `toml:"-"`
}

// Load reads the settings file and, if named, the properties file.
func Load(path, propsPath string) (*Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	s, err := Parse(b)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if s.Operator, err = LoadOperator(propsPath); err != nil {
		return nil, err
	}
	return s, nil
}

// Parse decodes and checks a settings file; unknown fields are ignored.
func Parse(b []byte) (*Settings, error) {
	var s Settings
	if err := toml.Unmarshal(b, &s); err != nil {
		var de *toml.DecodeError
		if errors.As(err, &de) {
			row, col := de.Position()
			key := strings.Join(de.Key(), ".")
			if key != "" {
				key += ": "
			}
			return nil, fmt.Errorf("line %d column %d: %s%s", row, col, key, de.Error())
		}
		return nil, err
	}
	return &s, s.check()
}

// WorkerLease returns the workers' lease.
func (s *Settings) WorkerLease() time.Duration { return Seconds(s.Params.Workers.LeaseS) }

// HeartbeatInterval returns the workers' report interval.
func (s *Settings) HeartbeatInterval() time.Duration { return Seconds(s.Params.Workers.ReportS) }

// RenewalBound is how long after its last fresh read a node may go on answering
// workers with 200: the leases that it renews must end before cancel_s.
func (s *Settings) RenewalBound() time.Duration {
	d := Seconds(s.Params.Workers.CancelS-s.Params.Workers.LeaseS*tuning.DriftFactor) - tuning.CancelMargin
	return max(d, 0)
}

// Team finds a team by name.
func (s *Settings) Team(name string) (Team, bool) {
	for _, t := range s.Params.Teams {
		if t.Name == name {
			return t, true
		}
	}
	return Team{}, false
}

// Seconds turns a number of seconds into a duration.
func Seconds(f float64) time.Duration { return time.Duration(f * float64(time.Second)) }
