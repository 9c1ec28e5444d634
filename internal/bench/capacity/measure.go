package capacity

// Measurement holds the slopes measured in one run and the figures computed from them.
type Measurement struct {
	Slopes []Slope `json:"slopes"`
	Size   Size    `json:"size"`
	Roles  []Role  `json:"roles"`
	Limits []Limit `json:"limits"`
}

// Measure measures the slopes on this machine and computes the roles and limits for the size.
func Measure(size Size, n Samples) *Measurement {
	m := &Measurement{Size: size}
	m.Slopes = append(m.Slopes, ledgerSlopes(n)...)
	m.Slopes = append(m.Slopes, snapshotSlopes(n)...)
	m.Slopes = append(m.Slopes, configSlopes(n, size)...)
	m.Slopes = append(m.Slopes, requestPathSlopes(n)...)
	m.Slopes = append(m.Slopes, messageSlopes()...)
	m.Slopes = append(m.Slopes, gatheredSlopes(n, size)...)
	m.Slopes = append(m.Slopes, recoverySlopes(size)...)
	m.Slopes = append(m.Slopes, outageSlopes(size)...)
	m.Slopes = append(m.Slopes, witnessSlopes(n)...)
	m.Roles = roles(size, m.slope)
	m.Limits = limits(size, m.slope)
	return m
}

// slope returns the value of a slope. It panics if there is none, a bug in this package.
func (m *Measurement) slope(name string) float64 {
	for _, s := range m.Slopes {
		if s.Name == name {
			return s.Value
		}
	}
	panic("slope not measured: " + name)
}
