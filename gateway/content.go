package gateway

import (
	"strconv"

	"lavenderpin.dev/lavenderpin/quarantine"
)

// contentOf returns the ID of what a caller asks for, the same in each attempt of it and at each node: all of it that an upstream
// gets but for what belongs to the attempt. Plain calls of several callers may be equal.
func contentOf(r *Request, account string) quarantine.ID {
	fields := []string{account, r.Method, r.Host, r.Target, quarantine.Digest(r.Body),
		strconv.FormatInt(r.PromptTokens, 10), strconv.FormatInt(r.MaxOutput, 10)}
	for _, part := range r.Prefix {
		fields = append(fields, part.ID)
	}
	return quarantine.NewID(fields...)
}
