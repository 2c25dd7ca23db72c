package placement

import (
	"math"

	"wheatspur/internal/jobs"
	"wheatspur/wire"
)

// imagePull is an image that a machine is to fetch.
type imagePull struct {
	image  string
	sizeGB float64
}

// HasImage reports whether the machine holds an image.
func (m *Machine) HasImage(image string) bool {
	for _, im := range m.Images {
		if im == image {
			return true
		}
	}
	return false
}

// addImagePull notes that a task with this image is on the machine or comes to it.
func (m *Machine) addImagePull(w *wire.JobSpec) {
	if w == nil || m.HasImage(w.Image) {
		return
	}
	for _, p := range m.imagePulls {
		if p.image == w.Image {
			return
		}
	}
	m.imagePulls = append(m.imagePulls, imagePull{w.Image, w.ImageGB})
}

// imageWaitBucketS is the difference in expected fetch time, in seconds, below
// which two machines count as equal and the least free room decides.
const imageWaitBucketS = 2.0

// imageWait is the expected time until the machine has the job's image, in buckets:
// nothing if it holds it, else the fetch together with those under way, which
// share the machine's rate.
func (m *Machine) imageWait(j *jobs.Job) float64 {
	w := j.Record.Spec
	if m.HasImage(w.Image) {
		return 0
	}
	rate := m.FetchGBPerS
	if rate <= 0 {
		rate = 1
	}
	gb := w.ImageGB
	for _, p := range m.imagePulls {
		if p.image == w.Image {
			gb -= w.ImageGB / 2 // joins a fetch that is under way
		} else {
			gb += p.sizeGB
		}
	}
	return math.Ceil(gb / rate / imageWaitBucketS)
}
