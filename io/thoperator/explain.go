package thoperator

import "context"

// pathExplain is the path of the query of what a VM would do with a request. Only the VM that is
// called answers, since each VM has a view of its own.
const pathExplain = "/explain"

// ExplainQuery describes a request that is not sent.
type ExplainQuery struct {
	Method string `json:"method"`
	Host   string `json:"host"`
	// URI is the path and query.
	URI string `json:"uri"`
	// Key is the customer's key; Customer, its name, is used if there is no key.
	Key      string `json:"key,omitempty"`
	Customer string `json:"customer,omitempty"`
	// BodyBytes is the length of the body.
	BodyBytes int `json:"bodyBytes,omitempty"`
	// TimeoutMillis is how long the caller waits; 0 means that the request does not say.
	TimeoutMillis int64 `json:"timeoutMillis,omitempty"`
}

// Explanation says what a VM would do with a request, and why.
type Explanation struct {
	VM   string `json:"vm"`
	Zone string `json:"zone"`
	// State is that of VMStatus.
	State        string `json:"state"`
	TableVersion uint64 `json:"tableVersion"`
	// Outcome is OutcomeSent, OutcomeWaits or OutcomeRefused.
	Outcome string `json:"outcome"`
	// Refusal is what the caller would get if the outcome is OutcomeRefused.
	Refusal *ExplainedRefusal `json:"refusal,omitempty"`
	// Route is nil if there is none for the host and path.
	Route *ExplainedRoute `json:"route,omitempty"`
	// Customer is nil for routes that need no key, and if the key is unknown.
	Customer *ExplainedCustomer `json:"customer,omitempty"`
	// Service is the service that would get the request. This and the fields below are left out if
	// the request is refused before one is chosen.
	Service string `json:"service,omitempty"`
	// WaitMillis is how long the request would wait for a slot at most, if the outcome is
	// OutcomeWaits.
	WaitMillis int64 `json:"waitMillis,omitempty"`
	// ExpectedLatencyMillis is the median latency that is expected of the route's answers.
	ExpectedLatencyMillis float64 `json:"expectedLatencyMillis,omitempty"`
	// Picked is the target that is the best one now, also if the request would wait first or would
	// be refused because the wait at that target is too long.
	Picked string `json:"picked,omitempty"`
	// KeepsFloor is set if that target is not the cheapest one, but is picked because too few
	// targets are in use.
	KeepsFloor bool `json:"keepsFloor,omitempty"`
	// IsBodyUnknown is set if the request has a body, which decides whether it is quarantined.
	IsBodyUnknown bool `json:"bodyUnknown,omitempty"`
	// Targets are all targets of the service: the candidates in the order of their costs, then the
	// others.
	Targets []ExplainedTarget `json:"targets,omitempty"`
}

// The outcomes of an Explanation.
const (
	OutcomeSent    = "sent"
	OutcomeWaits   = "waits"
	OutcomeRefused = "refused"
)

// ExplainedRefusal is a refusal as the caller would get it.
type ExplainedRefusal struct {
	Status int `json:"status"`
	// Error and Detail are those of the answer's body.
	Error  string `json:"error"`
	Detail string `json:"detail"`
	// RetryAfterMillis is the Retry-After; 0 means that the answer has none.
	RetryAfterMillis int64 `json:"retryAfterMillis,omitempty"`
}

// ExplainedRoute is the route of a request.
type ExplainedRoute struct {
	Name            string `json:"name"`
	IsIdempotent    bool   `json:"idempotent"`
	Priority        int    `json:"priority"`
	ObjectiveMillis int64  `json:"objectiveMillis"`
	TimeoutMillis   int64  `json:"timeoutMillis"`
}

// ExplainedCustomer is the customer of a request, with its limit.
type ExplainedCustomer struct {
	Name     string `json:"name"`
	Priority int    `json:"priority"`
	// Rate, in requests a second, and Burst are the limit over all VMs; a rate of 0 means none.
	Rate  float64 `json:"rate"`
	Burst float64 `json:"burst"`
	// Admission is what the VM would do first: AdmissionAdmitted, AdmissionAsksOwner,
	// AdmissionAwaitsJoin or AdmissionRefused. It is "" if the request is refused before.
	Admission string `json:"admission,omitempty"`
	// Owner is the VM that would be asked for a token. Its answer is not known.
	Owner string `json:"owner,omitempty"`
}

// The admissions of an ExplainedCustomer.
const (
	AdmissionAdmitted   = "admitted"
	AdmissionAsksOwner  = "asksOwner"
	AdmissionAwaitsJoin = "awaitsJoin"
	AdmissionRefused    = "refused"
)

// ExplainedTarget is what a VM knows of a target of the service.
type ExplainedTarget struct {
	Target  string `json:"target"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// IsCandidate is set if the VM considers the target. Others are used by other VMs, or are in
	// evacuated zones.
	IsCandidate bool `json:"candidate"`
	// IsExtra is set if the VM does not use the target regularly and drew it at random.
	IsExtra bool `json:"extra,omitempty"`
	// Excluded is why the candidate may not run the request: "draining", "evacuated", "throttled",
	// "paused", or "" if it may.
	Excluded string `json:"excluded,omitempty"`
	// Cost is the expected cost of the request at a candidate, in credit: an answer in time earns 1.
	Cost float64 `json:"cost,omitempty"`
	// Requests is how many requests are expected at the target, and Slots how many it runs at once.
	Requests int `json:"requests"`
	Slots    int `json:"slots"`
	// WaitMillis is how long the request would wait for a slot at a candidate.
	WaitMillis float64 `json:"waitMillis,omitempty"`
	// FailurePerMille is the probability that the next request fails, in thousandths, and
	// LatencyRatio how many times longer than usual requests take.
	FailurePerMille int     `json:"badPerMille"`
	LatencyRatio    float64 `json:"latencyRatio"`
	// IsDraining is set if the target drains by the list, or by its own word, as IsLeaving tells.
	IsDraining  bool `json:"draining,omitempty"`
	IsLeaving   bool `json:"leaving,omitempty"`
	IsEvacuated bool `json:"evacuated,omitempty"`
	// PausedMillis and ColdMillis are those of TargetStatus.
	PausedMillis int64 `json:"pausedMillis,omitempty"`
	ColdMillis   int64 `json:"coldMillis,omitempty"`
}

// Explain returns what a VM would do with a request, which is not sent.
func (c *Client) Explain(ctx context.Context, q ExplainQuery) (Explanation, error) {
	return callFirstAnswering[ExplainQuery, Explanation](ctx, c, pathExplain, q)
}
