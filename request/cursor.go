package request

import (
	"time"

	fleetv1 "lavenderpin.dev/lavenderpin/api/fleet/v1"
	"lavenderpin.dev/lavenderpin/result"
	"lavenderpin.dev/lavenderpin/signed"
	"lavenderpin.dev/lavenderpin/upstream"
)

// CursorPurpose is the signing purpose of stream cursors.
const CursorPurpose = "stream-cursor"

// cursorLifetime is how long a cursor is valid after its chunk. Engines keep a stream's
// output for less time.
const cursorLifetime = 10 * time.Minute

// cursorIssuer issues the cursors of one stream's chunks. It isn't safe for concurrent use.
type cursorIssuer struct {
	signer *signed.Signer
	cursor fleetv1.StreamCursor
}

// issue returns the cursor that points past the chunk; empty if the node signs none.
func (m *cursorIssuer) issue(chunk upstream.Chunk, now time.Time) string {
	if m.signer == nil {
		return ""
	}
	m.cursor.Next = chunk.Number + 1
	m.cursor.Usage = m.cursor.Usage || chunk.Usage != nil
	m.cursor.ExpiresMs = now.Add(cursorLifetime).UnixMilli()
	return m.signer.Sign(&m.cursor)
}

// openCursor verifies a caller's cursor. A cursor of another account is rejected like a
// forged one: it would give a caller somebody else's answer.
func (s *Server) openCursor(account, text string) (*fleetv1.StreamCursor, error) {
	cursor := &fleetv1.StreamCursor{}
	switch {
	case s.Cursors == nil || s.Cursors.Verify(text, cursor) != nil:
		return nil, result.New(result.InvalidCursor, "the event id was not made by this fleet")
	case cursor.GetAccount() != account:
		return nil, result.New(result.InvalidCursor, "the event id is of another account")
	case s.Clock.Now().UnixMilli() >= cursor.GetExpiresMs():
		return nil, result.New(result.InvalidCursor, "the event id has expired")
	}
	return cursor, nil
}
