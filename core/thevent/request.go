package thevent

// Numbers 600 to 699 are reserved for requests and attempts.
const (
	RequestAnswered ID = 603
	RequestRefused  ID = 604
	AttemptFailed   ID = 605
	RetryDecided    ID = 606
	// CallerMemoryShort is logged at most every ten seconds.
	CallerMemoryShort ID = 607
)

var requestEvents = []Event{
	{RequestAnswered, Info, "requestAnswered", "a target answered a request"},
	{RequestRefused, Info, "requestRefused", "a request was refused"},
	{AttemptFailed, Info, "attemptFailed", "an attempt to run a request on a target failed"},
	{CallerMemoryShort, Warn, "callerMemoryShort", "callers make the VM hold as much memory or as many connections as it may: some gave way or were refused"},
	{RetryDecided, Info, "retryDecided", "a request whose attempt failed is retried or not"},
}
