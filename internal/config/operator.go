package config

import (
	"errors"
	"fmt"
	"os"
	"time"

	"wheatspur/internal/tuning"
)

// Operator holds the settings of the operators' properties file, grouped by the first part of their
// keys. propertyByKey describes each. The type must stay comparable, because Reloaded compares values.
type Operator struct {
	LogLevel string

	RoleAdvisory    bool
	RoleExpand      float64
	RoleShrink      float64
	RoleMargin      float64
	RoleConfirm     int
	RoleCooldown    time.Duration
	RoleEvidenceMin time.Duration
	RoleEvidenceMax time.Duration
	RoleDemandRise  float64
	RoleUsable      float64
	RoleStartTarget time.Duration

	ServiceHeadroom float64
	BatchHeadroom   float64
	IdleSpot        time.Duration
	IdleOnDemand    time.Duration

	IntakeQueue       int
	PollQueue         int
	RetryAfterSeconds int

	QuotaTransfers    bool
	QuotaReservations bool

	RecoveryHold   bool
	RecoveryStarts int // task starts per second; 0: unlimited
}

// DefaultOperator returns the defaults from package tuning; a setting without a default there is off.
func DefaultOperator() Operator {
	return Operator{
		RoleExpand:        tuning.RoleExpand,
		RoleShrink:        tuning.RoleShrink,
		RoleMargin:        tuning.RoleMargin,
		RoleConfirm:       tuning.RoleConfirmations,
		RoleCooldown:      tuning.RoleCooldown,
		RoleEvidenceMin:   tuning.MinRoleEvidence,
		RoleEvidenceMax:   tuning.MaxRoleEvidence,
		RoleDemandRise:    tuning.RoleDemandRise,
		RoleUsable:        tuning.RoleUsableShare,
		RoleStartTarget:   tuning.RoleStartTarget,
		ServiceHeadroom:   tuning.ServiceHeadroom,
		BatchHeadroom:     tuning.BatchHeadroom,
		IdleSpot:          tuning.SpotIdleTimeout,
		IdleOnDemand:      tuning.OnDemandIdleTimeout,
		IntakeQueue:       tuning.IntakeQueue,
		PollQueue:         tuning.PollQueue,
		RetryAfterSeconds: tuning.RetryAfter,
	}
}

// LoadOperator reads and checks a properties file. With an empty path it returns the defaults.
func LoadOperator(path string) (Operator, error) {
	if path == "" {
		return DefaultOperator(), nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return Operator{}, fmt.Errorf("properties: %w", err)
	}
	operator, err := ParseOperator(text)
	if err != nil {
		return Operator{}, fmt.Errorf("%s: %w", path, err)
	}
	return operator, nil
}

// ErrRestart is returned for changed properties that take effect only after a restart.
var ErrRestart = errors.New("changes to keys other than log.level require a restart")

// Reloaded returns o with the changes in next that a running process can apply, which is log.level
// alone. If another key has changed, it returns o unchanged and ErrRestart.
func (o Operator) Reloaded(next Operator) (Operator, error) {
	reloaded := o
	reloaded.LogLevel = next.LogLevel
	if reloaded != next {
		return o, ErrRestart
	}
	return reloaded, nil
}
