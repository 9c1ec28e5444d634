package enginemodel

import "time"

// Params are the costs and sizes of a model engine. See the package comment for
// where they come from: they are assumed.
type Params struct {
	// Slots is the most sequences in the batch.
	Slots int
	// BlockTokens is the number of tokens in one KV block.
	BlockTokens int
	// Blocks is the KV memory, in blocks.
	Blocks int
	// ChunkTokens is the most prompt tokens prefilled in one step.
	ChunkTokens int
	// StepBase is the fixed time of a step.
	StepBase time.Duration
	// PerPrefillToken is the time that each prompt token adds to a step.
	PerPrefillToken time.Duration
	// PerDecode is the time that each decoding sequence adds to a step.
	PerDecode time.Duration
	// ReportEvery is the time between two load reports.
	ReportEvery time.Duration
	// ReportLag bounds how late a report arrives: between half of it and all of it.
	ReportLag time.Duration
	// EventEvery is the time between two batches of cache events.
	EventEvery time.Duration
	// EventLag bounds how late a batch arrives: between half of it and all of it.
	EventLag time.Duration
	// EventLoss is the share of batches that never arrive.
	EventLoss float64
}

// DefaultParams returns the assumed parameters of one engine.
func DefaultParams() Params {
	return Params{
		Slots:           16,
		BlockTokens:     64,
		Blocks:          1024,
		ChunkTokens:     512,
		StepBase:        12 * time.Millisecond,
		PerPrefillToken: 120 * time.Microsecond,
		PerDecode:       400 * time.Microsecond,
		ReportEvery:     500 * time.Millisecond,
		ReportLag:       600 * time.Millisecond,
		EventEvery:      time.Second,
		EventLag:        2 * time.Second,
		EventLoss:       0.05,
	}
}
