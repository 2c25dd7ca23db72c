package worker

import (
	"wheatspur/internal/tuning"
)

// RecordImage remembers that the machine uses an image, and forgets the images
// that it has dropped for want of room: it keeps those used last. gb tells the
// size of an image; room is the machine's disk, 0 if it is not known.
func (w *Worker) RecordImage(image string, gb func(string) float64, room float64) {
	kept := make([]string, 0, len(w.Images)+1)
	for _, im := range w.Images {
		if im != image {
			kept = append(kept, im)
		}
	}
	kept = append(kept, image)
	used, first := 0.0, len(kept)
	for first > 0 && len(kept)-first < tuning.ImagesKept {
		used += gb(kept[first-1])
		if room > 0 && used > room {
			break
		}
		first--
	}
	w.Images = kept[min(first, len(kept)-1):]
}
