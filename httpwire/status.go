package httpwire

import (
	"errors"
	"strconv"
)

// ErrInvalidStatus is returned for a response whose status is none of HTTP.
var ErrInvalidStatus = errors.New("the response has no valid status")

// The statuses of HTTP.
const (
	statusDigits = 3
	minStatus    = 100
	maxStatus    = 599
)

// CheckStatus returns ErrInvalidStatus unless code, as a status line holds it, is a status of HTTP: three digits from 100 to 599.
// Parsers accept others, and turn some of them into statuses that upstreams didn't send.
func CheckStatus(code string) error {
	n, err := strconv.ParseUint(code, 10, 16)
	if err != nil || len(code) != statusDigits || n < minStatus || n > maxStatus {
		return ErrInvalidStatus
	}
	return nil
}
