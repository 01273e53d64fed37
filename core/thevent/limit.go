package thevent

// Events 400 to 499 concern rates and bursts.
const (
	LimitHomeUnreachable ID = 400
	LimitHomeTaken       ID = 401
)

var limitEvents = []Event{
	{LimitHomeUnreachable, Warn, "limitHomeUnreachable", "no home of a customer's limit answered"},
	{LimitHomeTaken, Info, "limitHomeTaken", "the VM has become home to a part of a customer's limit"},
}
