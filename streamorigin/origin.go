package streamorigin

// Origin is where a stream began.
type Origin struct {
	Service string `json:"service"`
	// Version is the version of the software of the upstream that began the stream; empty if that isn't
	// certain. Such a stream goes on nowhere else.
	Version string `json:"version"`
}

// Fits reports whether a stream that began here may go on at an upstream of a service and version.
func (o Origin) Fits(service, version string) bool {
	return o.Version != "" && o.Version == version && o.Service == service
}
