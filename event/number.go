package event

// Number identifies a kind of event. Numbers are never reused.
type Number uint32

// The events. Hundreds group them: 1xx life of a node, 2xx log and configuration,
// 3xx budgets, 4xx requests, 5xx upstreams, 6xx membership and leases.
const (
	NodeStarting       Number = 101
	NodeServing        Number = 102
	NodeDraining       Number = 103
	NodeStopped        Number = 104
	NodeClosed         Number = 105
	PanicRecovered     Number = 106
	LogUnreachable     Number = 201
	LogReachable       Number = 202
	ConfigAccepted     Number = 203
	ConfigRefused      Number = 204
	ConfigInForce      Number = 205
	OperatorRefused    Number = 206
	BatchVoid          Number = 207
	ShareGranted       Number = 301
	ShareRefused       Number = 302
	ShareReturned      Number = 303
	TopUpInForce       Number = 304
	SpendRightLapsed   Number = 305
	IncarnationOpened  Number = 306
	IncarnationClosed  Number = 307
	RequestAdmitted    Number = 401
	RequestRefused     Number = 402
	RequestDispatched  Number = 403
	RequestFinished    Number = 404
	RequestFailed      Number = 405
	RequestSettled     Number = 406
	CallerLeft         Number = 407
	UpstreamUnhealthy  Number = 501
	UpstreamHealthy    Number = 502
	AnswerRejected     Number = 503
	PeerJoined         Number = 601
	PeerSuspect        Number = 602
	PeerGone           Number = 603
	LeaseTaken         Number = 604
	LeaseLost          Number = 605
	AddressesHandedOut Number = 606
)
