package thevent

// Numbers 100 to 199 are reserved for the process.
const (
	ProcessStarted  ID = 100
	ProcessDraining ID = 102
	ProcessStopped  ID = 103
	ControllerPanic ID = 104
	AcceptFailed    ID = 105
	SettingsChanged ID = 106
	LinesLeftOut    ID = 107
	SettingsRefused ID = 108
)

var processEvents = []Event{
	{ProcessStarted, Info, "processStarted", "the process has started"},
	{ProcessDraining, Info, "processDraining", "the VM is draining: it is no longer ready and finishes the requests in flight"},
	{ProcessStopped, Info, "processStopped", "the process has stopped"},
	{ControllerPanic, Fault, "controllerPanic", "a controller panicked; it runs again at its next interval"},
	{AcceptFailed, Warn, "acceptFailed", "a listener could not be opened or could not accept connections"},
	{SettingsChanged, Info, "settingsChanged", "changed settings were applied, except those that need a restart"},
	{LinesLeftOut, Warn, "linesLeftOut", "log lines were dropped: an event exceeded its rate limit or the log was read too slowly"},
	{SettingsRefused, Warn, "settingsRefused", "changed settings are invalid; the VM keeps using the previous ones"},
}
