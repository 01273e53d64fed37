package thevent

// Events 200 to 299 concern the configuration.
const (
	ConfigApplied       ID = 200
	ConfigOlderIgnored  ID = 201
	ConfigChainBroken   ID = 202
	ConfigChangeStored  ID = 203
	ConfigChangeRefused ID = 204
)

var configEvents = []Event{
	{ConfigApplied, Info, "configApplied", "a newer configuration is in force on this VM"},
	{ConfigOlderIgnored, Warn, "configOlderIgnored", "an older configuration was offered and ignored"},
	{ConfigChainBroken, Fault, "configChainBroken", "an offered configuration does not follow on from the one in force"},
	{ConfigChangeStored, Info, "configChangeStored", "an operator's change was stored"},
	{ConfigChangeRefused, Info, "configChangeRefused", "an operator's change was refused"},
}
