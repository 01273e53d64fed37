package therror

// Kind classifies an error. Every kind has an entry in answers and a description
// in docs/ERRORS.md.
type Kind uint8

// The error kinds. The zero value is Internal, whose outcome is unknown: an
// error created without a kind must not claim that the request did not run.
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
	LimitUnknown
	kindCount
)

// Outcome tells the caller whether a target may have run the request.
type Outcome string

// The outcomes.
const (
	// NotRun guarantees that no target ran the request: no byte of it was sent
	// to a target, or the target's answer is marked as "not run".
	NotRun Outcome = "notRun"
	// OutcomeUnknown means that a target may have run the request.
	OutcomeUnknown Outcome = "outcomeUnknown"
)

// Answer is what a caller or operator gets for an error of a kind.
type Answer struct {
	// Name identifies the kind in answers, in camel case.
	Name string
	// Status is the HTTP status code.
	Status int
	// Outcome tells whether a target may have run the request.
	Outcome Outcome
	// Retry is set if the same request may succeed later.
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
	LimitUnknown:        {"limitUnknown", 503, NotRun, true},
}

// Answer returns the answer for the kind. An undefined kind gets the answer for
// Internal.
func (k Kind) Answer() Answer {
	if k >= kindCount {
		k = Internal
	}
	return answers[k]
}

// String returns the name that identifies the kind in answers.
func (k Kind) String() string { return k.Answer().Name }

// Kinds returns all kinds in ascending order.
func Kinds() []Kind {
	ks := make([]Kind, 0, kindCount)
	for k := range kindCount {
		ks = append(ks, k)
	}
	return ks
}

// KindByName returns the kind with the given name. It returns Internal and false
// for a name that this version does not define, such as one sent by a VM that
// runs a newer version.
func KindByName(name string) (Kind, bool) {
	for k := range kindCount {
		if answers[k].Name == name {
			return k, true
		}
	}
	return Internal, false
}
