package placement

import (
	"math"
	"slices"

	"wheatspur/internal/jobs"
	"wheatspur/wire"
)

const (
	// imageWaitBucketS is the width in seconds of the buckets to which expected pull
	// times are rounded up. Of machines in the same bucket, the one with the least
	// free room is chosen.
	imageWaitBucketS = 2.0
	// defaultFetchGBPerS is the pull rate assumed for a machine whose rate is not known.
	defaultFetchGBPerS = 1
)

// imagePull is an image that a machine is pulling or has yet to pull.
type imagePull struct {
	image  string
	sizeGB float64
}

// HasImage reports whether the image is present on the machine.
func (m *Machine) HasImage(image string) bool { return slices.Contains(m.Images, image) }

// addImagePull records that the machine has to pull the image of a task that is claimed
// or placed on it, if it does not have the image.
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

// imageWait is the expected time until the machine has the job's image, in buckets of
// imageWaitBucketS: 0 if the image is present, else the time to pull this image and all
// others that the machine is pulling or has yet to pull, rounded up. All pulls share the
// machine's pull rate.
func (m *Machine) imageWait(j *jobs.Job) float64 {
	spec := j.Record.Spec
	if m.HasImage(spec.Image) {
		return 0
	}
	rate := m.ImagePullGBPerS
	if rate <= 0 {
		rate = defaultFetchGBPerS
	}
	pendingGB := spec.ImageGB
	for _, pull := range m.imagePulls {
		if pull.image == spec.Image {
			pendingGB -= spec.ImageGB / 2 // shares a pull in progress: half of it counts as done
		} else {
			pendingGB += pull.sizeGB
		}
	}
	return math.Ceil(pendingGB / rate / imageWaitBucketS)
}
