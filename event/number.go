package event

// Number identifies a kind of event. Numbers are never reused. They are grouped by
// hundreds, with a file for each group: 1xx node lifecycle, 2xx log, configuration and
// operators, 3xx budgets, 4xx requests, 5xx upstreams, 6xx membership and leases.
type Number uint32
