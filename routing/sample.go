package routing

// deepChoices is how many of the upstreams that hold most of the prompt are compared.
const deepChoices = 2

// sample keeps a few upstreams of many, chosen at random by the smallest rolls, and
// two of those that hold most of the prompt.
type sample struct {
	random lottery
	deep   lottery
	depth  int
	at     [maxChoices + deepChoices]int
}

// wants tells whether an upstream would enter the sample.
func (s *sample) wants(roll uint64, depth, choices int) bool {
	return s.random.wants(roll, choices) || s.isDeep(roll, depth)
}

func (s *sample) isDeep(roll uint64, depth int) bool {
	return depth > s.depth || (depth > 0 && depth == s.depth && s.deep.wants(roll, deepChoices))
}

func (s *sample) offer(at int, roll uint64, depth, choices int) {
	if s.isDeep(roll, depth) {
		if depth > s.depth {
			s.deep.count = 0
		}
		s.depth = depth
		s.deep.offer(at, roll, deepChoices)
	}
	s.random.offer(at, roll, choices)
}

// candidates returns the sampled indexes; one may occur twice.
func (s *sample) candidates() []int {
	n := copy(s.at[:], s.random.at[:s.random.count])
	n += copy(s.at[n:], s.deep.at[:s.deep.count])
	return s.at[:n]
}

// lottery keeps the few with the smallest rolls.
type lottery struct {
	rolls [maxChoices]uint64
	at    [maxChoices]int
	count int
	worst int
}

func (l *lottery) wants(roll uint64, choices int) bool {
	return l.count < min(choices, maxChoices) || roll < l.rolls[l.worst]
}

func (l *lottery) offer(at int, roll uint64, choices int) {
	switch {
	case l.count < min(choices, maxChoices):
		l.rolls[l.count], l.at[l.count] = roll, at
		l.count++
	case roll < l.rolls[l.worst]:
		l.rolls[l.worst], l.at[l.worst] = roll, at
	default:
		return
	}
	l.worst = 0
	for i := 1; i < l.count; i++ {
		if l.rolls[i] > l.rolls[l.worst] {
			l.worst = i
		}
	}
}
