package thevent

// Events 800 to 899 concern peers and operators.
const (
	PeerMessageDropped ID = 800
	OperatorRefused    ID = 801
	VMJoined           ID = 802
	VMLost             ID = 803
	VMHeard            ID = 804
	NoticeUnsent       ID = 805
)

var peerEvents = []Event{
	{PeerMessageDropped, Warn, "peerMessageDropped", "a peer's message was dropped"},
	{OperatorRefused, Warn, "operatorRefused", "an operator's call carried no valid credential"},
	{VMJoined, Info, "vmJoined", "another VM became known"},
	{VMLost, Warn, "vmLost", "another VM is not heard any more"},
	{VMHeard, Info, "vmHeard", "another VM is heard again"},
	{NoticeUnsent, Warn, "noticeUnsent", "a notice could not be sent"},
}
