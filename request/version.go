package request

import (
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/result"
	"lavenderpin.dev/lavenderpin/upstream"
)

// requiredVersion returns the version of the software at which the answer must go on; empty if the caller has seen
// nothing of it.
func (r *chatRun) requiredVersion() string {
	if len(r.deliveredHashes) == 0 || !r.sink.Streams() {
		return ""
	}
	return r.version
}

// checkVersion closes the stream of an upstream that runs another version of its software than the one that began
// the answer: what the caller has and the rest wouldn't fit together, even if they agree so far. An answer of which
// the caller has seen nothing begins at any version.
func (r *chatRun) checkVersion(stream upstream.ChatStream) error {
	if len(r.deliveredHashes) == 0 {
		r.version = stream.Version()
		return nil
	}
	if stream.Version() == r.version {
		return nil
	}
	stream.Close()
	r.server.Events.Record(event.AnswerRejected, "request", r.grant.Request(), "upstream", r.target.GetName(), "version", stream.Version(), "began_version", r.version)
	return result.New(result.VersionMissing, "%s runs version %q, the answer began at %q", r.target.GetName(), stream.Version(), r.version).WithMayHaveRun()
}
