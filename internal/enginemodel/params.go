package enginemodel

import "time"

// Params holds the costs and sizes of a simulated engine. All are assumed values; see the
// package comment.
type Params struct {
	// Slots is the maximum number of sequences in the batch.
	Slots int
	// BlockTokens is the number of tokens in one KV block.
	BlockTokens int
	// Blocks is the size of the KV memory, in blocks.
	Blocks int
	// ChunkTokens is the maximum number of prompt tokens prefilled in one step.
	ChunkTokens int
	// StepOverhead is the fixed duration of a step.
	StepOverhead time.Duration
	// PerPrefillToken is the time that each prompt token adds to a step.
	PerPrefillToken time.Duration
	// PerDecodeToken is the time that each decoding sequence adds to a step.
	PerDecodeToken time.Duration
	// ReportInterval is the interval between load reports.
	ReportInterval time.Duration
	// MaxReportDelay is the maximum delay of a load report; the minimum is half of it.
	MaxReportDelay time.Duration
	// EventInterval is the interval between batches of cache events.
	EventInterval time.Duration
	// MaxEventDelay is the maximum delay of a batch; the minimum is half of it.
	MaxEventDelay time.Duration
	// EventLossRate is the fraction of batches that are lost.
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
