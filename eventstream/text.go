package eventstream

import (
	"bytes"
	"math"
	"unicode/utf8"
)

// parseDecimal parses a number as an upstream writes one: decimal digits, without a sign or leading zeros.
func parseDecimal(text []byte) (int64, bool) {
	if len(text) == 0 || text[0] == '0' && len(text) > 1 {
		return 0, false
	}
	n := int64(0)
	for _, c := range text {
		if c < '0' || c > '9' {
			return 0, false
		}
		digit := int64(c - '0')
		if n > (math.MaxInt64-digit)/10 {
			return 0, false
		}
		n = n*10 + digit
	}
	return n, true
}

// isText reports whether all receivers see the same lines in a block: it is UTF-8 without NUL, and no carriage return stands but
// before a line feed, which would end a line for some of them.
func isText(block []byte) bool {
	if bytes.IndexByte(block, 0) >= 0 || !utf8.Valid(block) {
		return false
	}
	for rest := block; ; {
		i := bytes.IndexByte(rest, '\r')
		if i < 0 {
			return true
		}
		if i+1 == len(rest) || rest[i+1] != '\n' {
			return false
		}
		rest = rest[i+1:]
	}
}

func isAmong(names []string, name []byte) bool {
	for _, n := range names {
		if n == string(name) {
			return true
		}
	}
	return false
}
