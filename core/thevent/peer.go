package thevent

// Events 800 to 899 concern peers and operators.
const (
	PeerMessageDropped ID = 800
	OperatorRefused    ID = 801
)

var peerEvents = []Event{
	{PeerMessageDropped, Warn, "peerMessageDropped", "a peer's message was dropped"},
	{OperatorRefused, Warn, "operatorRefused", "an operator's call carried no valid credential"},
}
