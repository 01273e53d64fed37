package thevent

// Events 500 to 599 concern targets.
const (
	TargetLeaving   ID = 503
	TargetSuspected ID = 504
	TargetCleared   ID = 505
	TargetListed    ID = 506
	TargetGone      ID = 507
)

var targetEvents = []Event{
	{TargetLeaving, Info, "targetLeaving", "a target is leaving and gets no new work"},
	{TargetSuspected, Warn, "targetSuspected", "a target is more likely to fail than not"},
	{TargetCleared, Info, "targetCleared", "a suspected target is likely to answer well again"},
	{TargetListed, Info, "targetListed", "a target registered itself"},
	{TargetGone, Info, "targetGone", "a target is no longer registered"},
}
