package bench

// Report holds the results of a run.
type Report struct {
	Seed            uint64  `json:"seed"`
	Rate            float64 `json:"rate"`
	Seconds         float64 `json:"seconds"`
	Requests        int     `json:"requests"`
	OK              int     `json:"ok"`
	Refused         int     `json:"refused"`
	FalseRefusals   int     `json:"false_refusals"`
	OverspendTokens uint64  `json:"overspend_tokens"`
	DoubleBilled    int     `json:"double_billed"`
	Unbilled        int     `json:"unbilled"`
	DoubleRuns      int     `json:"double_runs"`
	Lost            int     `json:"lost"`
	Truncated       int     `json:"truncated"`
	Crossed         int     `json:"crossed"`
	BilledTokens    uint64  `json:"billed_tokens"`
	// AnsweredTokens is the expected charge, in tokens, of all complete answers.
	AnsweredTokens uint64 `json:"answered_tokens"`

	// Latencies are of complete answers to completions; added is routed minus direct at the
	// same quantile. First is the time to the first byte of a streamed answer.
	RoutedP50MS     float64 `json:"routed_p50_ms"`
	RoutedP99MS     float64 `json:"routed_p99_ms"`
	DirectP50MS     float64 `json:"direct_p50_ms"`
	DirectP99MS     float64 `json:"direct_p99_ms"`
	AddedP50MS      float64 `json:"added_p50_ms"`
	AddedP99MS      float64 `json:"added_p99_ms"`
	AddedFirstP50MS float64 `json:"added_first_p50_ms"`
	AddedFirstP99MS float64 `json:"added_first_p99_ms"`

	// CPUPerRequestUS is the CPU time of the whole process, including the load generator and
	// the stand-in services; CPUDirectUS is the same for requests sent directly to the
	// engines, and CPUAddedUS is the difference.
	CPUPerRequestUS float64 `json:"cpu_per_request_us"`
	CPUDirectUS     float64 `json:"cpu_direct_us"`
	CPUAddedUS      float64 `json:"cpu_added_us"`

	// BytesBetweenRegions counts the bytes that nodes of the away region exchanged with the
	// log and with nodes of the home region.
	BytesBetweenRegions uint64 `json:"bytes_between_regions"`
	BytesToLog          uint64 `json:"bytes_away_log"`
	BytesToPeers        uint64 `json:"bytes_away_peers"`
	Appends             uint64 `json:"appends"`

	// Codes counts refused and failed requests by result code.
	Codes map[string]int `json:"codes"`
	// NotMeasured names the figures that this kind of run can't measure.
	NotMeasured []string `json:"not_measured,omitempty"`
}
