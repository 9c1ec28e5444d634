package request

import (
	"bytes"
	"encoding/json"
	"unicode/utf8"

	"lavenderpin.dev/lavenderpin/result"
)

// maxJSONDepth is the maximum nesting depth of a caller's JSON.
const maxJSONDepth = 64

// validateJSON rejects a body that two parsers could read differently: one with a duplicate
// key in an object, with invalid UTF-8, or with data after its end. An engine that uses the
// other one of two equal keys would get a longer prompt than was reserved, and the account
// would overspend its budget.
func validateJSON(body []byte) error {
	if !utf8.Valid(body) {
		return result.New(result.MalformedRequest, "the body isn't UTF-8")
	}
	if !json.Valid(body) {
		return result.New(result.MalformedRequest, "the body isn't JSON")
	}
	validator := jsonValidator{decoder: json.NewDecoder(bytes.NewReader(body))}
	validator.decoder.UseNumber()
	return validator.value(0)
}

// jsonValidator walks one JSON value that is known to be syntactically valid.
type jsonValidator struct{ decoder *json.Decoder }

func (g *jsonValidator) value(depth int) error {
	if depth > maxJSONDepth {
		return result.New(result.MalformedRequest, "the body nests deeper than %d", maxJSONDepth)
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

func (g *jsonValidator) object(depth int) error {
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

func (g *jsonValidator) array(depth int) error {
	for g.decoder.More() {
		if err := g.value(depth + 1); err != nil {
			return err
		}
	}
	_, err := g.decoder.Token()
	return err
}
