package thevent

// Numbers 500 to 599 are reserved for targets.
const (
	TargetLeaving   ID = 503
	TargetSuspected ID = 504
	TargetCleared   ID = 505
	TargetListed    ID = 506
	TargetGone      ID = 507
	FloorEnforced   ID = 508
	FloorReleased   ID = 509
	// TargetSaidLeaving follows from an answer of the target, TargetLeaving from the list.
	TargetSaidLeaving ID = 510
	TargetPaused      ID = 511
	PauseIgnored      ID = 512
	TargetCold        ID = 513
	TargetWarm        ID = 514
)

var targetEvents = []Event{
	{TargetLeaving, Info, "targetLeaving", "a target is draining and gets no new requests"},
	{TargetSuspected, Warn, "targetSuspected", "a target became suspect: the next request to it is more likely to fail than to succeed"},
	{TargetCleared, Info, "targetCleared", "a target is no longer suspect"},
	{TargetListed, Info, "targetListed", "a target is new in the list of targets"},
	{TargetGone, Info, "targetGone", "a target is no longer in the list of targets"},
	{FloorEnforced, Warn, "floorEnforced", "many requests to a service fail: idle targets are used, whatever is known of them, to keep its floor"},
	{FloorReleased, Info, "floorReleased", "a service's floor is no longer enforced"},
	{TargetPaused, Info, "targetPaused", "a target has turned a request away and asked for a pause, in which this VM sends it none"},
	{PauseIgnored, Warn, "pauseIgnored", "a target has asked for a pause whose length could not be read"},
	{TargetCold, Info, "targetCold", "a target is cold, and gets no more requests than its service's bound for cold targets allows"},
	{TargetWarm, Info, "targetWarm", "a target is no longer cold"},
	{TargetSaidLeaving, Info, "targetSaidLeaving", "a target has said in an answer that it leaves, and gets no new requests"},
}
