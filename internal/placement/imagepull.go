package placement

import (
	"math"
	"slices"

	"wheatspur/internal/jobs"
	"wheatspur/wire"
)

const (
	// imageWaitBucketS is the difference in expected pull time, in seconds, below
	// which two machines count as equal and the least free room decides.
	imageWaitBucketS = 2.0
	// defaultFetchGBPerS stands in for the rate of a machine type that has none.
	defaultFetchGBPerS = 1
)

// imagePull is an image that a machine is to pull.
type imagePull struct {
	image  string
	sizeGB float64
}

// HasImage reports whether the machine holds an image.
func (m *Machine) HasImage(image string) bool { return slices.Contains(m.Images, image) }

// addImagePull notes that a task with this image is on the machine or comes to it.
func (m *Machine) addImagePull(spec *wire.JobSpec) {
	if spec == nil || m.HasImage(spec.Image) {
		return
	}
	for _, pull := range m.imagePulls {
		if pull.image == spec.Image {
			return
		}
	}
	m.imagePulls = append(m.imagePulls, imagePull{image: spec.Image, sizeGB: spec.ImageGB})
}

// imageWait is the expected time until the machine has the job's image, in buckets:
// nothing if it holds it, else the pull together with those under way, which
// share the machine's rate.
func (m *Machine) imageWait(j *jobs.Job) float64 {
	spec := j.Record.Spec
	if m.HasImage(spec.Image) {
		return 0
	}
	rate := m.FetchGBPerS
	if rate <= 0 {
		rate = defaultFetchGBPerS
	}
	pendingGB := spec.ImageGB
	for _, pull := range m.imagePulls {
		if pull.image == spec.Image {
			pendingGB -= spec.ImageGB / 2 // joins a pull that is under way: half of it counts as done
		} else {
			pendingGB += pull.sizeGB
		}
	}
	return math.Ceil(pendingGB / rate / imageWaitBucketS)
}
