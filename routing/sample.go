package routing

// cachedChoices is how many of the upstreams with the longest cached prefix are compared.
const cachedChoices = 2

// sample keeps a few random upstreams and cachedChoices random ones of those with the longest
// cached prefix.
type sample struct {
	random      reservoir
	cached      reservoir
	matchLength int
	buffer      [maxChoices + cachedChoices]int
}

// accepts reports whether an upstream would enter the sample.
func (s *sample) accepts(key uint64, matchLength, choices int) bool {
	return s.random.accepts(key, choices) || s.acceptsCached(key, matchLength)
}

func (s *sample) acceptsCached(key uint64, matchLength int) bool {
	return matchLength > s.matchLength || (matchLength > 0 && matchLength == s.matchLength && s.cached.accepts(key, cachedChoices))
}

func (s *sample) offer(index int, key uint64, matchLength, choices int) {
	if s.acceptsCached(key, matchLength) {
		if matchLength > s.matchLength {
			s.cached.count = 0
		}
		s.matchLength = matchLength
		s.cached.offer(index, key, cachedChoices)
	}
	s.random.offer(index, key, choices)
}

// candidates returns the sampled indexes; an index may occur twice.
func (s *sample) candidates() []int {
	n := copy(s.buffer[:], s.random.indexes[:s.random.count])
	n += copy(s.buffer[n:], s.cached.indexes[:s.cached.count])
	return s.buffer[:n]
}

// reservoir is a random sample: it keeps the upstreams with the smallest random keys.
type reservoir struct {
	keys    [maxChoices]uint64
	indexes [maxChoices]int
	count   int
	largest int
}

func (r *reservoir) accepts(key uint64, choices int) bool {
	return r.count < min(choices, maxChoices) || key < r.keys[r.largest]
}

func (r *reservoir) offer(index int, key uint64, choices int) {
	switch {
	case r.count < min(choices, maxChoices):
		r.keys[r.count], r.indexes[r.count] = key, index
		r.count++
	case key < r.keys[r.largest]:
		r.keys[r.largest], r.indexes[r.largest] = key, index
	default:
		return
	}
	r.largest = 0
	for i := 1; i < r.count; i++ {
		if r.keys[i] > r.keys[r.largest] {
			r.largest = i
		}
	}
}
