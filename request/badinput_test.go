package request

import (
	"context"
	"encoding/json"
	"strings"
	"testing"

	"github.com/matryer/is"

	"lavenderpin.dev/lavenderpin/internal/standin"
	"lavenderpin.dev/lavenderpin/result"
)

func TestInvalidBodiesAreRejected(t *testing.T) {
	// Bodies that are malformed, or that two parsers could read differently, get their result
	// code, and nothing is sent, reserved or billed.
	is := is.New(t)
	s := newFixture(t, standin.EngineOptions{})
	n := s.newServer("a")
	user := `"messages":[{"role":"user","content":"x"}]`
	model := `"model":"` + testModel + `"`
	for body, code := range map[string]result.Code{
		``:                                result.MalformedRequest,
		`[]`:                              result.MalformedRequest,
		`null`:                            result.MalformedRequest,
		`{` + model + `,` + user:          result.MalformedRequest,
		`{` + model + `,` + user + `} {}`: result.MalformedRequest,
		`{` + user + `}`:                  result.MalformedRequest,
		`{"model":7,` + user + `}`:        result.MalformedRequest,
		`{"model":"none",` + user + `}`:   result.UnknownService,
		`{"Model":"` + testModel + `",` + user + `}`: result.MalformedRequest,
		`{` + model + `}`:                                                                            result.MalformedRequest,
		`{` + model + `,"messages":{}}`:                                                              result.MalformedRequest,
		`{` + model + `,"messages":["x"]}`:                                                           result.MalformedRequest,
		`{` + model + `,"messages":[{"content":1}]}`:                                                 result.MalformedRequest,
		`{` + model + `,"messages":[{"content":[{"type":"image_url"}]}]}`:                            result.MalformedRequest,
		`{` + model + `,"messages":[{"content":[{"type":"text"}]}]}`:                                 result.MalformedRequest,
		`{` + model + `,` + model + `,` + user + `}`:                                                 result.MalformedRequest,
		`{` + model + `,"messages":[{"content":"x","content":"y"}]}`:                                 result.MalformedRequest,
		`{` + model + `,"stream":"yes",` + user + `}`:                                                result.MalformedRequest,
		`{` + model + `,"n":2,` + user + `}`:                                                         result.MalformedRequest,
		`{` + model + `,"best_of":9,` + user + `}`:                                                   result.MalformedRequest,
		`{` + model + `,"max_tokens":0,` + user + `}`:                                                result.TokensOutOfRange,
		`{` + model + `,"max_tokens":-1,` + user + `}`:                                               result.TokensOutOfRange,
		`{` + model + `,"max_tokens":1e99,` + user + `}`:                                             result.TokensOutOfRange,
		`{` + model + `,"max_tokens":"5",` + user + `}`:                                              result.TokensOutOfRange,
		`{` + model + `,"max_completion_tokens":99999,` + user + `}`:                                 result.TokensOutOfRange,
		`{` + model + `,"max_tokens":1,"max_completion_tokens":2,` + user + `}`:                      result.TokensOutOfRange,
		"{" + model + `,"messages":[{"content":"` + "\xff" + `"}]}`:                                  result.MalformedRequest,
		`{` + model + `,"x":` + strings.Repeat("[", 99) + strings.Repeat("]", 99) + `,` + user + `}`: result.MalformedRequest,
	} {
		sink := &testSink{stream: true}
		err := n.Chat(context.Background(), chatCall([]byte(body)), sink)
		if result.CodeOf(err) != code || !result.From(err).NotRun() {
			t.Errorf("%s: %v", body, err)
		}
		is.Equal(sink.started, 0)
	}
	is.Equal(n.billedTokens(t), uint64(0))
	is.Equal(len(s.engines[0].Runs()), 0)
}

func TestValidBodiesAreAccepted(t *testing.T) {
	is := is.New(t)
	for _, body := range []string{
		`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"a b"},{"type":"text","text":"c"}]}]}`,
		`{"model":"m","max_tokens":null,"n":1,"messages":[{"role":"assistant","content":null,"tool_calls":[]}]}`,
		`{"model":"m","max_completion_tokens":7,"messages":[{"content":"x"}],"temperature":0.1}`,
	} {
		parsed, err := parseChat([]byte(body))
		is.NoErr(err)
		_, err = parsed.answerLimit(0)
		is.NoErr(err)
	}
}

// An engine that honours max_completion_tokens would answer beyond the reservation, and the
// account would spend tokens that it hasn't prepaid.
func TestEngineGetsSingleTokenLimit(t *testing.T) {
	is := is.New(t)
	parsed, err := parseChat([]byte(`{"model":"m","max_completion_tokens":7,"messages":[{"content":"x"}]}`))
	is.NoErr(err)
	limit, err := parsed.answerLimit(0)
	is.NoErr(err)
	body, err := parsed.encodeForEngine(limit)
	is.NoErr(err)
	var fields map[string]json.RawMessage
	is.NoErr(json.Unmarshal(body, &fields))
	is.Equal(string(fields["max_tokens"]), "7")
	_, left := fields["max_completion_tokens"]
	is.True(!left)
}

func TestInvalidPathsAreRejected(t *testing.T) {
	// A path that an upstream resolves differently could match as a read that may be
	// repeated and run as an order that may not.
	is := is.New(t)
	for _, path := range []string{
		"", "x", "/a/../b", "/a/%2e%2e/b", "/./a", "/a%0d%0aX-Evil:1", "/a%", "/a%00", "//host/a", `/a\..\b`,
	} {
		_, err := validatePath(path)
		is.Equal(result.CodeOf(err), result.InvalidPath)
	}
	path, err := validatePath("/a%20b/c?x=%2e%2e")
	is.NoErr(err)
	is.Equal(path, "/a b/c")
}

// The parser must not panic on any body, and an accepted body must be bounded: no text in it
// may be longer than the number of tokens reserved for it.
func FuzzChatBody(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"x"}]}`))
	f.Add([]byte(`{"model":"m","max_tokens":5,"messages":[{"content":[{"type":"text","text":"\u00e9"}]}],"tools":[{"a":"b"}]}`))
	f.Add([]byte(`{"model":"m","messages":[{"content":"a","content":"b"}]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		parsed, err := parseChat(body)
		if err != nil {
			if result.CodeOf(err) == result.InternalError {
				t.Fatal(err)
			}
			return
		}
		limit, err := parsed.answerLimit(0)
		if err != nil {
			return
		}
		toEngine, err := parsed.encodeForEngine(limit)
		if err != nil {
			t.Fatal(err)
		}
		var seen struct {
			Messages []struct{ Content any }
			Max      uint64 `json:"max_tokens"`
		}
		if err := json.Unmarshal(toEngine, &seen); err != nil {
			t.Fatalf("%v: %s", err, toEngine)
		}
		text := 0
		for _, m := range seen.Messages {
			if content, ok := m.Content.(string); ok {
				text += len(content)
			}
		}
		if seen.Max != limit || uint64(text) > parsed.promptBound() {
			t.Fatalf("limit %d, text %d, bound %d: %s", seen.Max, text, parsed.promptBound(), toEngine)
		}
	})
}

// Only an unaltered cursor of the same account opens.
func FuzzCursor(f *testing.F) {
	s := newFixture(f)
	n := s.newServer("a")
	issuer := cursorIssuer{signer: n.Cursors}
	issuer.cursor.Account, issuer.cursor.Request = "account", "a.1"
	good := issuer.issue(chunkNumber(3), n.Clock.Now())
	f.Add(good, "account")
	f.Add(good, "other")
	f.Add("", "account")
	f.Add(strings.Replace(good, ".", "..", 1), "account")
	f.Fuzz(func(t *testing.T, text, account string) {
		cursor, err := n.openCursor(account, text)
		if err == nil && (n.Cursors.Sign(cursor) != text || account != cursor.GetAccount()) {
			t.Fatalf("opened %q for %q: %v", text, account, cursor)
		}
	})
}
