package worker

import "wheatspur/internal/tuning"

// RecordImage remembers that the machine uses an image, and drops the images
// that the machine has deleted for lack of room: it keeps those used last.
// sizeGB tells the size of an image; diskGB is the machine's disk, 0 if it is
// not known.
func (w *Worker) RecordImage(image string, sizeGB func(string) float64, diskGB float64) {
	kept := make([]string, 0, len(w.Images)+1)
	for _, other := range w.Images {
		if other != image {
			kept = append(kept, other)
		}
	}
	kept = append(kept, image)
	used, first := 0.0, len(kept)
	for first > 0 && len(kept)-first < tuning.ImagesKept {
		used += sizeGB(kept[first-1])
		if diskGB > 0 && used > diskGB {
			break
		}
		first--
	}
	// The image just used is there, whatever its size.
	w.Images = kept[min(first, len(kept)-1):]
}
