package retry

import "time"

// Spare is one process's part of the fixed number of retries that a platform allows, over all
// processes, beside those that requests earn. Unlike these it is not earned anew, so a part that
// grows, as when a process has started, applies to windows in which no retry can arrive that another
// process took while the part was its own.
//
// The exported fields are set before use. A Spare is not safe for concurrent use.
type Spare struct {
	// Span is the length of the platform's window.
	Span time.Duration
	// Initial is the part that applies from the beginning, for a process without a predecessor.
	Initial float64

	begun bool
	// part is the part for windows that begin later than those in parts.
	part float64
	// parts is a ring of the parts for the windows that begin in each bucket.
	parts [retryBuckets]float64
	// newest is the number of the newest bucket of the present.
	newest int64
}

// Set sets the part.
func (s *Spare) Set(now time.Time, part float64) {
	s.advance(bucketOf(now, s.Span))
	s.part = part
	for at := s.newest; at <= s.newest+lateBuckets; at++ {
		s.parts[at%retryBuckets] = min(s.parts[at%retryBuckets], part)
	}
}

// At returns the part for the windows that end at the given time.
func (s *Spare) At(now time.Time) float64 {
	s.advance(bucketOf(now, s.Span))
	return s.at(s.newest - windowBuckets)
}

// later returns the part for windows of which no request is known yet.
func (s *Spare) later() float64 { return s.part }

// at returns the part for the windows that begin in a bucket.
func (s *Spare) at(bucket int64) float64 { return s.parts[bucket%retryBuckets] }

// advance adds the buckets up to the present one.
func (s *Spare) advance(bucket int64) {
	if !s.begun {
		s.begun, s.part = true, s.Initial
	}
	s.newest = max(s.newest, bucket-retryBuckets)
	for s.newest < bucket {
		s.newest++
		s.parts[(s.newest+lateBuckets)%retryBuckets] = s.part
	}
}
