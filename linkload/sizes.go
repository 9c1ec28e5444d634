package linkload

const (
	// overheadBytes estimates what a request takes beside its body and response: handshake, headers and acknowledgements.
	overheadBytes = 700
	// unknownBodyBytes is the expected length of a body without Content-Length: mostly long bodies are sent in chunks.
	unknownBodyBytes = 16 << 10
	// defaultResponseBytes is the expected size of a route's first response: short answers take some 2.3 KB, long ones 3 KB.
	defaultResponseBytes = 2500
	// responseMemory is over how many responses of a route, about, sizes are averaged.
	responseMemory = 32
	// maxSizedRoutes bounds the number of routes whose responses are remembered, and so the memory for them.
	maxSizedRoutes = 4096
)

// responseSize averages the responses of a route.
type responseSize struct {
	// bytes is the mean size; tokens is the mean number of output tokens that the requests allowed, zero if none did.
	bytes, tokens float64
}

// responseSizes averages the responses of each route.
type responseSizes map[string]*responseSize

// observe records a complete response.
func (s responseSizes) observe(route string, maxOutput, bytes int64) {
	size, ok := s[route]
	if !ok {
		if len(s) < maxSizedRoutes {
			s[route] = &responseSize{bytes: float64(bytes), tokens: float64(maxOutput)}
		}
		return
	}
	size.bytes += (float64(bytes) - size.bytes) / responseMemory
	size.tokens += (float64(maxOutput) - size.tokens) / responseMemory
}

// expected returns the expected size of a response: in proportion to the output tokens that the request allows, where requests
// of the route do.
func (s responseSizes) expected(route string, maxOutput int64) float64 {
	size, ok := s[route]
	switch {
	case !ok:
		return defaultResponseBytes
	case size.tokens > 0 && maxOutput > 0:
		return size.bytes / size.tokens * float64(maxOutput)
	default:
		return size.bytes
	}
}
