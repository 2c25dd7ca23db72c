package config

import (
	"errors"
	"fmt"
	"os"
	"time"

	"wheatspur/internal/tuning"
)

// Operator is what operators may tune in a properties file.
type Operator struct {
	LogLevel         string
	RoleAdvisory     bool
	RoleExpand       float64
	RoleShrink       float64
	RoleMargin       float64
	RoleConfirm      int
	RoleCooldown     time.Duration
	RoleEvidenceMin  time.Duration
	RoleEvidenceMax  time.Duration
	RoleDemandRise   float64
	RoleUsable       float64
	RoleStartTarget  time.Duration
	ServiceHeadroom  float64
	BatchHeadroom    float64
	IdleSpot         time.Duration
	IdleOrdinary     time.Duration
	IntakeQueue      int
	PollQueue        int
	RetryAfterSecond int
	QuotaTransfers   bool

	QuotaReservations bool

	RecoveryHold   bool
	RecoveryStarts int // a second; 0: no bound
}

// DefaultOperator returns the defaults of package tuning.
func DefaultOperator() Operator {
	return Operator{
		RoleExpand: tuning.RoleExpand, RoleShrink: tuning.RoleShrink, RoleMargin: tuning.RoleMargin,
		RoleConfirm: tuning.RoleConfirmations, RoleCooldown: tuning.RoleCooldown,
		RoleEvidenceMin: tuning.RoleEvidenceMin, RoleEvidenceMax: tuning.RoleEvidenceMax,
		RoleDemandRise: tuning.RoleDemandRise, RoleUsable: tuning.RoleUsable,
		RoleStartTarget: tuning.RoleStartTarget,
		ServiceHeadroom: tuning.ServiceHeadroom, BatchHeadroom: tuning.BatchHeadroom,
		IdleSpot: tuning.IdleSpot, IdleOrdinary: tuning.IdleOnDemand,
		IntakeQueue: tuning.IntakeQueue, PollQueue: tuning.PollQueue, RetryAfterSecond: tuning.RetryAfter,
	}
}

// LoadOperator reads the properties file; without a name it returns the defaults.
func LoadOperator(path string) (Operator, error) {
	if path == "" {
		return DefaultOperator(), nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return Operator{}, fmt.Errorf("properties: %w", err)
	}
	o, err := ParseOperator(text)
	if err != nil {
		return Operator{}, fmt.Errorf("%s: %w", path, err)
	}
	return o, nil
}

// ErrRestart says that changed settings need a restart.
var ErrRestart = errors.New("keys other than log.level have changed, which needs a restart")

// Reloaded is the settings with those of a changed properties file that a running
// process can take over: log.level. If another key has changed, it is an error.
func (o Operator) Reloaded(next Operator) (Operator, error) {
	before := o
	before.LogLevel = next.LogLevel
	if before != next {
		return o, ErrRestart
	}
	return next, nil
}
