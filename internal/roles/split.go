package roles

import "time"

// Split is the ordinary machines of one type.
type Split struct {
	Type           string
	Batch, Service int     // machines per role that are up
	BatchComing    int     // batch machines that still boot; they keep the floor
	ServiceComing  int     // service machines that still boot
	Spot           int     // spot machines: batch only, never split, count for the batch floor
	BatchWork      float64 // queued batch work in machine-seconds
	ServiceBooked  float64 // service demand in machines
	Complete       bool    // demand evidence is complete
}

// batchLoad is predicted start work over the start-time target, with n machines.
func (s Split) batchLoad(n int, target time.Duration) float64 {
	if s.BatchWork <= 0 {
		return 0
	}
	return s.BatchWork / float64(max(n+s.Spot, 0)) / target.Seconds()
}

// serviceLoad is the booked share over the usable share, with n machines.
func (s Split) serviceLoad(n int, usable float64) float64 {
	if s.ServiceBooked <= 0 {
		return 0
	}
	return s.ServiceBooked / (float64(max(n, 0)) * usable)
}
