package thevent

// Events 500 to 599 concern targets.
const (
	TargetEjected    ID = 500
	TargetReadmitted ID = 501
	TargetFloorHeld  ID = 502
	TargetLeaving    ID = 503
	TargetSuspected  ID = 504
	TargetCleared    ID = 505
	TargetListed     ID = 506
	TargetGone       ID = 507
)

var targetEvents = []Event{
	{TargetEjected, Warn, "targetEjected", "a target gets no ordinary work"},
	{TargetReadmitted, Info, "targetReadmitted", "an ejected target gets work again"},
	{TargetFloorHeld, Warn, "targetFloorHeld", "more targets look sick than the floor allows to eject"},
	{TargetLeaving, Info, "targetLeaving", "a target is leaving and gets no new work"},
	{TargetSuspected, Warn, "targetSuspected", "a target is more likely to fail than not"},
	{TargetCleared, Info, "targetCleared", "a suspected target is likely to answer well again"},
	{TargetListed, Info, "targetListed", "a target registered itself"},
	{TargetGone, Info, "targetGone", "a target is no longer registered"},
}
