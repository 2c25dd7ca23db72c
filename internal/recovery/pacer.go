package recovery

import "time"

// Class orders starts by what they protect.
type Class int

// Classes of starts, the most urgent first.
const (
	ServiceStart Class = iota
	ArrayStart
	classCount
)

// Backlog is how many starts wait, by class.
type Backlog [classCount]int

// Total is the sum of all classes.
func (b Backlog) Total() int { return sum(b[:]) }

// moreUrgentThan is how many starts wait of classes before one.
func (b Backlog) moreUrgentThan(c Class) int { return sum(b[:c]) }

func sum(counts []int) int {
	total := 0
	for _, count := range counts {
		total += count
	}
	return total
}

// Pacer bounds the rate of starts of one controller, as a token bucket: so many a
// second, and at most a second's worth at once. Starts of a class leave what more
// urgent ones that wait need. Commands that protect limits and cancellations,
// kills and reaps, are not paced. The zero value lets everything pass.
type Pacer struct {
	rate       float64 // starts a second; 0: no bound
	tokens     float64
	refilledAt time.Time
	backlog    Backlog
}

// NewPacer returns a pacer of a rate.
func NewPacer(rate float64, now time.Time) *Pacer {
	return &Pacer{rate: rate, tokens: rate, refilledAt: now}
}

// SetBacklog tells how many starts wait of each class.
func (p *Pacer) SetBacklog(b Backlog) { p.backlog = b }

// Admit takes one start of a class; false if it has to wait.
func (p *Pacer) Admit(c Class, now time.Time) bool {
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

// refill adds the tokens of the time since the last refill.
func (p *Pacer) refill(now time.Time) {
	p.tokens = min(p.rate, p.tokens+p.rate*max(0, now.Sub(p.refilledAt).Seconds()))
	p.refilledAt = now
}
