package worker

import "wheatspur/internal/tuning"

// RecordImage records that the machine uses an image, and drops the images that the machine must have
// deleted for lack of disk space: machines keep the most recently used ones. sizeGB returns the size
// of an image; diskGB is the size of the machine's disk, or 0 if it is not known.
func (w *Worker) RecordImage(image string, sizeGB func(string) float64, diskGB float64) {
	kept := make([]string, 0, len(w.Images)+1)
	for _, other := range w.Images {
		if other != image {
			kept = append(kept, other)
		}
	}
	kept = append(kept, image)
	usedGB, oldest := 0.0, len(kept)
	for oldest > 0 && len(kept)-oldest < tuning.ImagesKept {
		usedGB += sizeGB(kept[oldest-1])
		if diskGB > 0 && usedGB > diskGB {
			break
		}
		oldest--
	}
	// The image just used is on the disk, whatever its size.
	w.Images = kept[min(oldest, len(kept)-1):]
}
