package reach

// Mode is how a node reaches an upstream.
type Mode int32

const (
	// Direct is over the node's own path.
	Direct Mode = iota
	// Relayed is through another node.
	Relayed
	// Unreachable means that neither this node nor those that it asked reach the upstream.
	Unreachable
)

// String returns the mode's name in logs.
func (m Mode) String() string {
	switch m {
	case Direct:
		return "direct"
	case Relayed:
		return "relayed"
	default:
		return "unreachable"
	}
}

// Cause is why a direct path is taken for cut.
type Cause string

const (
	// CauseTimeout means that nothing came back: open connections are dead as well.
	CauseTimeout Cause = "timeout"
	// CauseRefused means that a connection was refused or reset: open ones may go on.
	CauseRefused Cause = "refused"
)
