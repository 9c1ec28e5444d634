package request

import (
	"time"

	fleetv1 "lavenderpin.dev/lavenderpin/api/fleet/v1"
	"lavenderpin.dev/lavenderpin/result"
	"lavenderpin.dev/lavenderpin/signed"
	"lavenderpin.dev/lavenderpin/upstream"
)

// CursorPurpose is what stream cursors are signed for.
const CursorPurpose = "stream-cursor"

// cursorLifetime is how long after its chunk a cursor may be used. Engines keep a
// stream's output for less.
const cursorLifetime = 10 * time.Minute

// cursorMaker makes the cursor of each chunk of one stream. It isn't safe for
// concurrent use.
type cursorMaker struct {
	signer *signed.Signer
	cursor fleetv1.StreamCursor
}

// after returns the cursor of a caller that got the chunk; empty when the node signs
// none.
func (m *cursorMaker) after(chunk upstream.Chunk, now time.Time) string {
	if m.signer == nil {
		return ""
	}
	m.cursor.Next = chunk.Number + 1
	m.cursor.Usage = m.cursor.Usage || chunk.Usage != nil
	m.cursor.ExpiresMs = now.Add(cursorLifetime).UnixMilli()
	return m.signer.Sign(&m.cursor)
}

// openCursor reads a caller's cursor. One of another account is as invalid as a
// forged one: it would show a caller somebody else's answer.
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
