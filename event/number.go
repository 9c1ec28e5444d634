package event

// Number identifies a kind of event. Numbers are never reused. Hundreds group
// them, and each group has a file of its own: 1xx life of a node, 2xx log,
// configuration and operators, 3xx budgets, 4xx requests, 5xx upstreams, 6xx
// membership and leases.
type Number uint32
