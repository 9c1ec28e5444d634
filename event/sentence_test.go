package event

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestDescribe(t *testing.T) {
	is := is.New(t)
	refused := Event{Number: RequestRefused, Fields: map[string]string{"account": "casco", "code": "2002", "why": "the pool is empty"}}
	is.Equal(refused.Describe(), "A request of account casco was refused with code 2002: the pool is empty.")
	is.Equal(Event{Number: NodeServing, Fields: map[string]string{"z": "1", "a": "2"}}.Describe(), "The node began to serve. [a 2, z 1]")
}

// A template for an event that nobody lists would never be told, and a template with
// a field in no braces would print as it stands.
func TestDescriptionsMatchCatalogue(t *testing.T) {
	is := is.New(t)
	for number, template := range sentences {
		is.True(number.Kind().Name != "")
		is.Equal(strings.Count(template, "{"), strings.Count(template, "}"))
	}
}
