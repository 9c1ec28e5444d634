package routing

// sample keeps a few upstreams of many, chosen at random by the smallest rolls, and
// the one that holds most of the prompt.
type sample struct {
	rolls [maxChoices]uint64
	at    [maxChoices + 1]int
	count int
	worst int

	deepest   int
	deepestAt int
	tie       uint64
}

// wants tells whether an upstream would enter the sample.
func (s *sample) wants(roll uint64, depth, choices int) bool {
	return s.count < min(choices, maxChoices) || roll < s.rolls[s.worst] || s.isDeeper(roll, depth)
}

func (s *sample) isDeeper(roll uint64, depth int) bool {
	return depth > 0 && (depth > s.deepest || (depth == s.deepest && roll < s.tie))
}

func (s *sample) offer(at int, roll uint64, depth, choices int) {
	if s.isDeeper(roll, depth) {
		s.deepest, s.deepestAt, s.tie = depth, at, roll
	}
	switch {
	case s.count < min(choices, maxChoices):
		s.rolls[s.count], s.at[s.count] = roll, at
		s.count++
	case roll < s.rolls[s.worst]:
		s.rolls[s.worst], s.at[s.worst] = roll, at
	}
	for i := range s.count {
		if s.rolls[i] > s.rolls[s.worst] {
			s.worst = i
		}
	}
}

// candidates returns the sampled indexes, the one with most of the prompt included.
func (s *sample) candidates() []int {
	n := s.count
	if s.deepest > 0 {
		s.at[n] = s.deepestAt
		n++
	}
	return s.at[:n]
}
