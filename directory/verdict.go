package directory

// verdict is what is done with an entry.
type verdict int

const (
	accepted verdict = iota
	// readBefore entries stand before the last accepted one in the log, as in an older reading of all entries.
	readBefore
	// earlierSequence entries were written before the last accepted one by the same incarnation, and executed late.
	earlierSequence
	// otherIncarnation entries may be late writes of an incarnation that ended.
	otherIncarnation
)

// Dropped is an entry that changed nothing since it may have been executed late.
type Dropped struct {
	Entry
	// Present is the upstream's last accepted entry, Departed reports whether that one is gone.
	Present  Entry
	Departed bool
	// Reason is "earlier sequence" or "another incarnation".
	Reason string
}

// reasons are those that tell operators something; older readings are as common as restarts of the reader.
var reasons = map[verdict]string{earlierSequence: "earlier sequence", otherIncarnation: "another incarnation"}
