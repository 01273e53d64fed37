package thevent

// Events 500 to 599 concern targets.
const (
	TargetEjected    ID = 500
	TargetReadmitted ID = 501
	TargetFloorHeld  ID = 502
	TargetLeaving    ID = 503
)

var targetEvents = []Event{
	{TargetEjected, Warn, "targetEjected", "a target gets no ordinary work"},
	{TargetReadmitted, Info, "targetReadmitted", "an ejected target gets work again"},
	{TargetFloorHeld, Warn, "targetFloorHeld", "more targets look sick than the floor allows to eject"},
	{TargetLeaving, Info, "targetLeaving", "a target is leaving and gets no new work"},
}
