package streamorigin

import (
	"strconv"
	"strings"
)

// Origin is where a stream began.
type Origin struct {
	Service string `json:"service"`
	// Version is the version of the software of the upstream that began the stream; see Unlisted.
	Version string `json:"version"`
	// Weights is the version of the weights that the upstream held; zero if unknown. Orders
	// change them without a restart, and what two versions generate doesn't fit together either.
	Weights int64 `json:"weights,omitempty"`
}

// unlistedPrefix begins the versions that Unlisted returns.
const unlistedPrefix = "unlisted/"

// Unlisted returns the origin of a stream that began at an incarnation of an upstream whose entry wasn't known.
// Nobody knows its version, so it counts as one of its own. startedAt is its start in Unix milliseconds, or
// negative if that isn't known either.
func Unlisted(service string, startedAt int64) Origin {
	return Origin{Service: service, Version: unlistedPrefix + strconv.FormatInt(startedAt, 10)}
}

// IsListed reports whether the version is from an upstream's entry.
func (o Origin) IsListed() bool {
	return o.Version != "" && !strings.HasPrefix(o.Version, unlistedPrefix)
}

// Fits reports whether a stream that began here may go on at an upstream of a service and version.
func (o Origin) Fits(service, version string) bool {
	return o.IsListed() && o.Version == version && o.Service == service
}
