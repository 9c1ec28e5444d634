package event

// Upstream events.
const (
	UpstreamUnhealthy  Number = 501
	UpstreamHealthy    Number = 502
	AnswerRejected     Number = 503
	TokenBoundExceeded Number = 504
	UpstreamListed     Number = 505
	UpstreamContact    Number = 506
	UpstreamPath       Number = 507
	PathsLost          Number = 508
	UpstreamBrittle    Number = 509
	VersionDeclared    Number = 510
	VersionUncertain   Number = 511
	UpstreamLimit      Number = 512
	UpstreamCrashed    Number = 513
	CrashLearned       Number = 514
	CrashesUntold      Number = 515
	PartBlocked        Number = 516
	PartLifted         Number = 517
	PermitDecided      Number = 518
	UpstreamProbed     Number = 520
	UpstreamPaused     Number = 521
	Evacuation         Number = 522
	UpstreamRamp       Number = 523
	EventInvalid       Number = 524
	EntryDropped       Number = 525
)

var upstreamKinds = map[Number]Kind{
	UpstreamUnhealthy:  {"UpstreamUnhealthy", "An upstream gets no new requests."},
	UpstreamHealthy:    {"UpstreamHealthy", "An upstream gets new requests again."},
	UpstreamProbed:     {"UpstreamProbed", "An upstream that got no new requests is probed with one request at a time."},
	UpstreamPaused:     {"UpstreamPaused", "An upstream asked for no requests for a time; this node sends it none, except what cancels a request."},
	Evacuation:         {"Evacuation", "Operators asked to send nothing more to the upstreams of a data centre, or took that back; after that its upstreams are taken for cold."},
	UpstreamRamp:       {"UpstreamRamp", "This node began to send an upstream that started or recovered its share of a level that grows with good answers, or ended that; outcome tells why."},
	UpstreamListed:     {"UpstreamListed", "The list of upstreams changed for this node: one joined, with the version of its software, or left, or all were read again."},
	UpstreamContact:    {"UpstreamContact", "This node lost or regained contact with some or all upstreams of a service."},
	UpstreamPath:       {"UpstreamPath", "The way to an upstream changed: the node's own path, through another node, or none."},
	PathsLost:          {"PathsLost", "This node reaches most upstreams only through other nodes, or again by itself."},
	UpstreamBrittle:    {"UpstreamBrittle", "An upstream said that it falls over if it has to reject more than a few requests a second, or says so no more; this node limits what it sends there."},
	UpstreamLimit:      {"UpstreamLimit", "An upstream named how many requests a second it takes from all nodes together, another number, or none any more; this node keeps to its part of it."},
	UpstreamCrashed:    {"UpstreamCrashed", "An upstream crashed, or the connection to it was lost, while it worked on a request; content is the same in all attempts at what the caller asks, crashes how many upstreams crashed under it."},
	CrashLearned:       {"CrashLearned", "Another node told this one that an upstream crashed under a request."},
	PartBlocked:        {"PartBlocked", "Requests with a part of a prompt are refused: four upstreams crashed under them one after the other, and no answer began; or one of them is let through as a trial."},
	PartLifted:         {"PartLifted", "Requests with a part of a prompt are sent again: an answer began, or an operator lifted the block."},
	PermitDecided:      {"PermitDecided", "The other nodes were asked about a request under which upstreams had crashed before it was sent; denied tells why it isn't sent (crashes, or others that send it or can't be asked), asked whether the budget of messages allowed it, sends how many sends are under way at other nodes, before how many of them and of those that wait go first."},
	CrashesUntold:      {"CrashesUntold", "Another node couldn't be told that upstreams crashed under requests; it learns of it from the store when it starts."},
	VersionDeclared:    {"VersionDeclared", "This node declared in the store that streams of a service may begin at a version of its software, or deleted such a declaration."},
	VersionUncertain:   {"VersionUncertain", "A stream began at an upstream that restarted since its entry: its version isn't known, and the stream goes on nowhere else."},
	TokenBoundExceeded: {"TokenBoundExceeded", "An engine counted more tokens than its service declares; this node uses the byte-based bound until the declaration is changed."},
	EventInvalid:       {"EventInvalid", "An upstream sent something in a stream that is not the next event of it; after is the last event before it, due the ID that was due, id its own (0 if it has none), why the check that it failed, bytes its length."},
	EntryDropped:       {"EntryDropped", "An entry of an upstream changed nothing, since the store may have executed it late: reason tells why, born and sequence are the entry's, present_born and present_sequence those of the last one that counted, departed whether that one is gone."},
	AnswerRejected:     {"AnswerRejected", "An upstream's response was truncated, for another request, or held something that isn't its next chunk; chunks is how many of the answer's chunks came before."},
}
