package therror

// Kind names what went wrong. The list is closed: every kind has a row in the
// answer table, and docs/ERRORS.md describes each.
type Kind uint8

// The error kinds. Zero is Internal, so that a forgotten kind is never taken
// for a promise that nothing ran.
const (
	Internal Kind = iota
	KeyMissing
	KeyUnknown
	RouteUnknown
	RouteForbidden
	RequestMalformed
	RequestTooLarge
	OverLimit
	NotReady
	QueueFull
	NoTarget
	ConnectFailed
	Shed
	AnswerLost
	AnswerBroken
	AnswerLate
	CallerGone
	Quarantined
	CredentialMissing
	ChangeInvalid
	ChangeConflict
	StoreUnavailable
	StoreOutcomeUnknown
	MessageMalformed
	MessageTooLarge
	NotFound
	SettingsInvalid
	HeaderTooLarge
	RequestSlow
	kindCount
)

// Outcome says what is known about whether the request ran.
type Outcome string

// The outcomes. NotRun is a promise: no byte of the request left for any
// target, or the target's template says that its answer means not run.
const (
	NotRun         Outcome = "notRun"
	OutcomeUnknown Outcome = "outcomeUnknown"
)

// Answer is what a kind is turned into.
type Answer struct {
	// Name is the kind's name on the wire, in camel case.
	Name string
	// Status is the HTTP status code.
	Status int
	// Outcome is the promise the refusal carries.
	Outcome Outcome
	// Retry says whether the same request may succeed later.
	Retry bool
}

var answers = [kindCount]Answer{
	Internal:            {"internal", 500, OutcomeUnknown, false},
	KeyMissing:          {"keyMissing", 401, NotRun, false},
	KeyUnknown:          {"keyUnknown", 401, NotRun, false},
	RouteUnknown:        {"routeUnknown", 404, NotRun, false},
	RouteForbidden:      {"routeForbidden", 403, NotRun, false},
	RequestMalformed:    {"requestMalformed", 400, NotRun, false},
	RequestTooLarge:     {"requestTooLarge", 413, NotRun, false},
	OverLimit:           {"overLimit", 429, NotRun, true},
	NotReady:            {"notReady", 503, NotRun, true},
	QueueFull:           {"queueFull", 503, NotRun, true},
	NoTarget:            {"noTarget", 503, NotRun, true},
	ConnectFailed:       {"connectFailed", 502, NotRun, true},
	Shed:                {"shed", 503, NotRun, true},
	AnswerLost:          {"answerLost", 502, OutcomeUnknown, false},
	AnswerBroken:        {"answerBroken", 502, OutcomeUnknown, false},
	AnswerLate:          {"answerLate", 504, OutcomeUnknown, false},
	CallerGone:          {"callerGone", 499, OutcomeUnknown, false},
	Quarantined:         {"quarantined", 503, NotRun, false},
	CredentialMissing:   {"credentialMissing", 401, NotRun, false},
	ChangeInvalid:       {"changeInvalid", 422, NotRun, false},
	ChangeConflict:      {"changeConflict", 409, NotRun, true},
	StoreUnavailable:    {"storeUnavailable", 503, NotRun, true},
	StoreOutcomeUnknown: {"storeOutcomeUnknown", 503, OutcomeUnknown, true},
	MessageMalformed:    {"messageMalformed", 400, NotRun, false},
	MessageTooLarge:     {"messageTooLarge", 413, NotRun, false},
	NotFound:            {"notFound", 404, NotRun, false},
	SettingsInvalid:     {"settingsInvalid", 422, NotRun, false},
	HeaderTooLarge:      {"headerTooLarge", 431, NotRun, false},
	RequestSlow:         {"requestSlow", 408, NotRun, true},
}

// Answer returns the kind's row in the table. A number outside the list gets
// the row of Internal.
func (k Kind) Answer() Answer {
	if k >= kindCount {
		k = Internal
	}
	return answers[k]
}

// String returns the kind's name on the wire.
func (k Kind) String() string { return k.Answer().Name }

// Kinds returns every kind in order.
func Kinds() []Kind {
	ks := make([]Kind, 0, kindCount)
	for k := range kindCount {
		ks = append(ks, k)
	}
	return ks
}

// KindByName returns the kind with the given wire name. A name from a newer
// version that is not known here gives Internal and false.
func KindByName(name string) (Kind, bool) {
	for k := range kindCount {
		if answers[k].Name == name {
			return k, true
		}
	}
	return Internal, false
}
