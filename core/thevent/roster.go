package thevent

// Events 300 to 399 concern the roster, freshness and homes.
const (
	FreshnessLost   ID = 300
	FreshnessGained ID = 301
	RosterChanged   ID = 302
)

var rosterEvents = []Event{
	{FreshnessLost, Warn, "freshnessLost", "the VM cannot rule out a newer configuration and refuses keyed requests"},
	{FreshnessGained, Info, "freshnessGained", "the VM knows its configuration to be the newest"},
	{RosterChanged, Info, "rosterChanged", "the roster has changed"},
}
