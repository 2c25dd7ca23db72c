package config

import (
	"errors"
	"fmt"
	"os"
	"time"

	"wheatspur/internal/tuning"
)

// OperatorSettings holds the settings of the operators' properties file, grouped by the first part of
// their keys. propertyByKey describes each. The type must stay comparable, because WithReloadable
// compares values.
type OperatorSettings struct {
	LogLevel string

	RoleAdvisory      bool
	RoleExpand        float64
	RoleShrink        float64
	RoleMargin        float64
	RoleConfirmations int
	RoleCooldown      time.Duration
	MinRoleEvidence   time.Duration
	MaxRoleEvidence   time.Duration
	RoleDemandRise    float64
	RoleUsableShare   float64
	RoleStartTarget   time.Duration

	ServiceHeadroom     float64
	BatchHeadroom       float64
	SpotIdleTimeout     time.Duration
	OnDemandIdleTimeout time.Duration

	IntakeQueue       int
	PollQueue         int
	RetryAfterSeconds int

	QuotaTransfers    bool
	QuotaReservations bool

	RecoveryHold   bool
	RecoveryStarts int // task starts per second; 0: unlimited
}

// DefaultOperatorSettings returns the defaults from package tuning; a setting without a default there
// is off.
func DefaultOperatorSettings() OperatorSettings {
	return OperatorSettings{
		RoleExpand:          tuning.RoleExpand,
		RoleShrink:          tuning.RoleShrink,
		RoleMargin:          tuning.RoleMargin,
		RoleConfirmations:   tuning.RoleConfirmations,
		RoleCooldown:        tuning.RoleCooldown,
		MinRoleEvidence:     tuning.MinRoleEvidence,
		MaxRoleEvidence:     tuning.MaxRoleEvidence,
		RoleDemandRise:      tuning.RoleDemandRise,
		RoleUsableShare:     tuning.RoleUsableShare,
		RoleStartTarget:     tuning.RoleStartTarget,
		ServiceHeadroom:     tuning.ServiceHeadroom,
		BatchHeadroom:       tuning.BatchHeadroom,
		SpotIdleTimeout:     tuning.SpotIdleTimeout,
		OnDemandIdleTimeout: tuning.OnDemandIdleTimeout,
		IntakeQueue:         tuning.IntakeQueue,
		PollQueue:           tuning.PollQueue,
		RetryAfterSeconds:   tuning.RetryAfter,
	}
}

// LoadOperatorSettings reads and checks a properties file. With an empty path it returns the
// defaults.
func LoadOperatorSettings(path string) (OperatorSettings, error) {
	if path == "" {
		return DefaultOperatorSettings(), nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return OperatorSettings{}, fmt.Errorf("properties: %w", err)
	}
	operator, err := ParseOperatorSettings(text)
	if err != nil {
		return OperatorSettings{}, fmt.Errorf("%s: %w", path, err)
	}
	return operator, nil
}

// ErrRestartRequired is returned for changed properties that take effect only after a restart.
var ErrRestartRequired = errors.New("changes to keys other than log.level require a restart")

// WithReloadable returns o with the changes in next that a running process can apply, which is
// log.level alone. If another key has changed, it returns o unchanged and ErrRestartRequired.
func (o OperatorSettings) WithReloadable(next OperatorSettings) (OperatorSettings, error) {
	reloaded := o
	reloaded.LogLevel = next.LogLevel
	if reloaded != next {
		return o, ErrRestartRequired
	}
	return reloaded, nil
}
