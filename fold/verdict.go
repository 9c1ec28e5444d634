package fold

import (
	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/result"
)

// Position identifies an entry's place in the log and its writer.
type Position struct {
	Offset uint64
	// Writer is the incarnation that appended the batch.
	Writer string
}

// Verdict is the deterministic outcome of one entry, identical on all nodes.
type Verdict struct {
	// Code is OK if the entry took effect.
	Code result.Code
	// Message explains a refusal.
	Message string
	// Offset is the log offset of the entry.
	Offset uint64
	// Tokens is the amount granted to a share claim, or billed by a settlement.
	Tokens uint64
	// Version is the current version of the resource if a change was refused, the new version
	// if it took effect, or the epoch of a lease.
	Version uint64
}

// OK reports whether the entry took effect.
func (v Verdict) OK() bool { return v.Code == result.OK }

// Err returns the refusal as an error; nil if the entry took effect.
func (v Verdict) Err() error {
	if v.OK() {
		return nil
	}
	return result.New(v.Code, "%s", v.Message)
}

// Accept returns the verdict of an entry that took effect.
func Accept(at Position) Verdict { return Verdict{Offset: at.Offset} }

// Refuse returns the verdict of an entry that has no effect.
func Refuse(at Position, code result.Code, message string) Verdict {
	return Verdict{Code: code, Message: message, Offset: at.Offset}
}

// Part is one deterministic component of the replicated state.
type Part interface {
	// Apply applies an entry; false means that the part doesn't handle this kind of entry.
	Apply(at Position, entry *recordv1.Entry) (Verdict, bool)
	// Name identifies the part's state within a snapshot.
	Name() string
	// Snapshot returns the part's entire state.
	Snapshot() ([]byte, error)
	// Restore replaces the part's state with one returned by Snapshot.
	Restore(data []byte) error
}
