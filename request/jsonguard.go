package request

import (
	"bytes"
	"encoding/json"
	"unicode/utf8"

	"lavenderpin.dev/lavenderpin/result"
)

// maxDepth bounds how deep a caller's JSON may nest.
const maxDepth = 64

// checkJSON refuses a body that two readers could take for two things: one with a
// key twice in an object, with bytes that aren't UTF-8, or with something behind its
// end. An engine that reads the other one of two equal keys would get a longer prompt
// than was reserved, and the account would spend beyond its budget.
func checkJSON(body []byte) error {
	if !utf8.Valid(body) {
		return result.New(result.MalformedRequest, "the body isn't UTF-8")
	}
	if !json.Valid(body) {
		return result.New(result.MalformedRequest, "the body isn't JSON")
	}
	guard := jsonGuard{decoder: json.NewDecoder(bytes.NewReader(body))}
	guard.decoder.UseNumber()
	return guard.value(0)
}

// jsonGuard walks one valid JSON value.
type jsonGuard struct{ decoder *json.Decoder }

func (g *jsonGuard) value(depth int) error {
	if depth > maxDepth {
		return result.New(result.MalformedRequest, "the body nests deeper than %d", maxDepth)
	}
	token, err := g.decoder.Token()
	if err != nil {
		return result.New(result.MalformedRequest, "the body isn't JSON: %v", err)
	}
	switch token {
	case json.Delim('{'):
		return g.object(depth)
	case json.Delim('['):
		return g.array(depth)
	}
	return nil
}

func (g *jsonGuard) object(depth int) error {
	seen := map[string]bool{}
	for g.decoder.More() {
		token, err := g.decoder.Token()
		if err != nil {
			return result.New(result.MalformedRequest, "the body isn't JSON: %v", err)
		}
		key, _ := token.(string)
		if seen[key] {
			return result.New(result.MalformedRequest, "the key %q stands twice in one object", key)
		}
		seen[key] = true
		if err := g.value(depth + 1); err != nil {
			return err
		}
	}
	_, err := g.decoder.Token()
	return err
}

func (g *jsonGuard) array(depth int) error {
	for g.decoder.More() {
		if err := g.value(depth + 1); err != nil {
			return err
		}
	}
	_, err := g.decoder.Token()
	return err
}
