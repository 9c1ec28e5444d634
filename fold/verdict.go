package fold

import (
	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/result"
)

// Position tells a Part where an entry stands in the stream and who wrote it.
type Position struct {
	Offset uint64
	// Writer is the incarnation that appended the batch.
	Writer string
}

// Verdict is what the fold decided on one entry. All nodes decide alike.
type Verdict struct {
	// Code is OK when the entry took effect.
	Code result.Code
	// Message explains a refusal.
	Message string
	// Offset is where the entry stands in the stream.
	Offset uint64
	// Tokens is what a share claim was granted, or what a settlement billed.
	Tokens uint64
	// Version is the current version of the resource that a change lost against,
	// the new version of one that won, or the epoch of a lease.
	Version uint64
}

// OK tells whether the entry took effect.
func (v Verdict) OK() bool { return v.Code == result.OK }

// Err returns the refusal as an error, nil when the entry took effect.
func (v Verdict) Err() error {
	if v.OK() {
		return nil
	}
	return result.New(v.Code, "%s", v.Message)
}

// Accept returns the verdict of an entry that took effect.
func Accept(at Position) Verdict { return Verdict{Offset: at.Offset} }

// Refuse returns the verdict of an entry that had no effect.
func Refuse(at Position, code result.Code, message string) Verdict {
	return Verdict{Code: code, Message: message, Offset: at.Offset}
}

// Part is one deterministic piece of the folded state.
type Part interface {
	// Apply decides on an entry; false means that the entry isn't of this part.
	Apply(at Position, entry *recordv1.Entry) (Verdict, bool)
	// Name identifies the part's state within a snapshot.
	Name() string
	// Snapshot returns the part's whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the part's state by one that Snapshot returned.
	Restore(data []byte) error
}
