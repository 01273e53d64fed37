package thevent

// Numbers 800 to 899 are reserved for peers and operators.
const (
	PeerMessageDropped ID = 800
	OperatorRefused    ID = 801
	VMJoined           ID = 802
	VMLost             ID = 803
	VMHeard            ID = 804
	NoticeUnsent       ID = 805
	NoticeDelayed      ID = 806
)

var peerEvents = []Event{
	{PeerMessageDropped, Warn, "peerMessageDropped", "a call from a peer was rejected"},
	{OperatorRefused, Warn, "operatorRefused", "a call from an operator was rejected, for example for a missing or wrong credential"},
	{VMJoined, Info, "vmJoined", "another VM joined the fleet"},
	{VMLost, Warn, "vmLost", "another VM is no longer live: it did not answer probes"},
	{VMHeard, Info, "vmHeard", "another VM is live again"},
	{NoticeUnsent, Warn, "noticeUnsent", "a notice could not be encoded or sent"},
	{NoticeDelayed, Warn, "noticeDelayed", "a notice waited because the rate of notices was used up"},
}
