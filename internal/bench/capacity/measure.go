package capacity

// Measurement holds all slopes of one run.
type Measurement struct {
	Slopes []Slope `json:"slopes"`
	Size   Size    `json:"size"`
	Roles  []Role  `json:"roles"`
	Limits []Limit `json:"limits"`
}

// Measure takes the slopes on this machine and computes the roles for the size.
func Measure(size Size, n Samples) *Measurement {
	m := &Measurement{Size: size}
	m.Slopes = append(m.Slopes, ledgerSlopes(n)...)
	m.Slopes = append(m.Slopes, snapshotSlopes(n)...)
	m.Slopes = append(m.Slopes, configSlopes(n, size)...)
	m.Slopes = append(m.Slopes, pathSlopes(n)...)
	m.Slopes = append(m.Slopes, wireSlopes()...)
	m.Slopes = append(m.Slopes, gatheredSlopes(n, size)...)
	m.Slopes = append(m.Slopes, recoverySlopes(size)...)
	m.Slopes = append(m.Slopes, outageSlopes(size)...)
	m.Slopes = append(m.Slopes, witnessSlopes(n)...)
	m.Roles = roles(size, m.slope)
	m.Limits = limits(size, m.slope)
	return m
}

// slope returns a slope's value; a missing one is a defect of this package.
func (m *Measurement) slope(name string) float64 {
	for _, s := range m.Slopes {
		if s.Name == name {
			return s.Value
		}
	}
	panic("no slope " + name)
}
