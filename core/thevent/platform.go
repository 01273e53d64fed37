package thevent

// Events 700 to 799 concern the platform's services.
const (
	StoreLost     ID = 700
	StoreRegained ID = 701
)

var platformEvents = []Event{
	{StoreLost, Warn, "storeLost", "the platform's store does not answer"},
	{StoreRegained, Info, "storeRegained", "the platform's store answers again"},
}
