package recovery

import "time"

// StartClass is the priority class of a start.
type StartClass int

// Classes of starts, in descending order of priority.
const (
	ServiceStart StartClass = iota
	ArrayStart
	classCount
)

// Backlog is the number of waiting starts by class.
type Backlog [classCount]int

// Total returns the number of waiting starts of all classes.
func (b Backlog) Total() int { return sum(b[:]) }

// moreUrgentThan returns the number of waiting starts of higher priority than a class.
func (b Backlog) moreUrgentThan(c StartClass) int { return sum(b[:c]) }

func sum(counts []int) int {
	total := 0
	for _, count := range counts {
		total += count
	}
	return total
}

// Pacer limits the rate at which one controller starts tasks. It is a token bucket that
// holds the tokens of one second. A start is admitted only if enough tokens are left for all
// waiting starts of higher priority. Kills and reaps are not paced, because limits and
// cancellations depend on them. The zero value admits every start.
type Pacer struct {
	rate       float64 // starts per second; 0 means no limit
	tokens     float64
	refilledAt time.Time
	backlog    Backlog
}

// NewPacer returns a pacer with a full bucket that admits rate starts per second.
func NewPacer(rate float64, now time.Time) *Pacer {
	return &Pacer{rate: rate, tokens: rate, refilledAt: now}
}

// SetBacklog sets the number of waiting starts by class.
func (p *Pacer) SetBacklog(b Backlog) { p.backlog = b }

// Admit reports whether a start of a class may be sent now, and takes a token for it.
func (p *Pacer) Admit(c StartClass, now time.Time) bool {
	if p.rate <= 0 {
		return true
	}
	p.refill(now)
	if p.tokens-float64(p.backlog.moreUrgentThan(c)) < 1 {
		return false
	}
	p.tokens--
	p.backlog[c] = max(0, p.backlog[c]-1)
	return true
}

// refill adds the tokens for the time since the last refill.
func (p *Pacer) refill(now time.Time) {
	p.tokens = min(p.rate, p.tokens+p.rate*max(0, now.Sub(p.refilledAt).Seconds()))
	p.refilledAt = now
}
