package thevent

// Numbers 700 to 799 are reserved for the platform's store and for what is read
// from it.
const (
	StoreLost     ID = 700
	StoreRegained ID = 701
	ReadingBegun  ID = 702
	ReadingEnded  ID = 703
	RowSkipped    ID = 704
	TableApplied  ID = 705
	TableRefused  ID = 706
	PeerAsked     ID = 707
	TableUnread   ID = 708
	// TargetsUnread is TableUnread for the list of targets.
	TargetsUnread     ID = 709
	VersionsAnnounced ID = 710
	StoreRestored     ID = 711
	// StoreEraUnreadable is logged once per process.
	StoreEraUnreadable ID = 712
	TargetKept         ID = 713
	TableKept          ID = 714
	ZoneEvacuated      ID = 715
	ZoneReleased       ID = 716
)

var platformEvents = []Event{
	{StoreLost, Warn, "storeLost", "the platform's store does not answer"},
	{StoreRegained, Info, "storeRegained", "the platform's store answers again"},
	{ReadingBegun, Info, "readingBegun", "this VM now reads the store for its zone"},
	{ReadingEnded, Info, "readingEnded", "another VM now reads the store for the zone"},
	{RowSkipped, Warn, "rowSkipped", "a row of the store is invalid and was skipped"},
	{TableApplied, Info, "tableApplied", "a new routing table was applied"},
	{TableRefused, Warn, "tableRefused", "a routing table from the store could not be decoded; the VM keeps using the previous one"},
	{PeerAsked, Info, "peerAsked", "another VM was asked for its routing table and targets, or did not give its status or report"},
	{TableUnread, Warn, "tableUnread", "the platform's store did not answer the request for a newer routing table"},
	{TargetsUnread, Warn, "targetsUnread", "the platform's store did not answer the request for the list of targets"},
	{VersionsAnnounced, Info, "versionsAnnounced", "this VM announced a newer routing table or list of targets to others"},
	{StoreRestored, Warn, "storeRestored", "the platform's store has come back from an older copy"},
	{StoreEraUnreadable, Warn, "storeEraUnreadable", "an answer of the platform's store has an era that cannot be read; the last one counts"},
	{TargetKept, Info, "targetKept", "the platform's store has come back with something older of a target than this VM knows"},
	{TableKept, Info, "tableKept", "the platform's store has an older routing table than this VM, which keeps its own"},
	{ZoneEvacuated, Warn, "zoneEvacuated", "the operator's order to evacuate an availability zone is in force on this VM, which sends no requests to the zone's targets"},
	{ZoneReleased, Warn, "zoneReleased", "an availability zone is no longer evacuated on this VM"},
}
