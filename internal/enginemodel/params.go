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
	// StepOverhead is the fixed time of a step.
	StepOverhead time.Duration
	// PerPrefillToken is the time that each prompt token adds to a step.
	PerPrefillToken time.Duration
	// PerDecodeToken is the time that each decoding sequence adds to a step.
	PerDecodeToken time.Duration
	// ReportInterval is the time between two load reports.
	ReportInterval time.Duration
	// MaxReportDelay bounds how late a report arrives: between half of it and all of it.
	MaxReportDelay time.Duration
	// EventInterval is the time between two batches of cache events.
	EventInterval time.Duration
	// MaxEventDelay bounds how late a batch arrives: between half of it and all of it.
	MaxEventDelay time.Duration
	// EventLossRate is the share of batches that never arrive.
	EventLossRate float64
}

// DefaultParams returns the assumed parameters of one engine.
func DefaultParams() Params {
	return Params{
		Slots:           16,
		BlockTokens:     64,
		Blocks:          1024,
		ChunkTokens:     512,
		StepOverhead:    12 * time.Millisecond,
		PerPrefillToken: 120 * time.Microsecond,
		PerDecodeToken:  400 * time.Microsecond,
		ReportInterval:  500 * time.Millisecond,
		MaxReportDelay:  600 * time.Millisecond,
		EventInterval:   time.Second,
		MaxEventDelay:   2 * time.Second,
		EventLossRate:   0.05,
	}
}
