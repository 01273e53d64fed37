package thevent

// Events 600 to 699 concern requests, claims and quarantine.
const (
	RequestQuarantined ID = 600
	ClaimUnresolved    ID = 601
	AnswerDiscarded    ID = 602
	RequestAnswered    ID = 603
	RequestRefused     ID = 604
	AttemptFailed      ID = 605
)

var requestEvents = []Event{
	{RequestQuarantined, Warn, "requestQuarantined", "a request that coincided with dying targets is refused"},
	{ClaimUnresolved, Warn, "claimUnresolved", "a claimed request's outcome could not be recorded"},
	{AnswerDiscarded, Warn, "answerDiscarded", "an answer that was not whole or not the request's own was discarded"},
	{RequestAnswered, Info, "requestAnswered", "a request got a target's answer"},
	{RequestRefused, Info, "requestRefused", "a request was refused"},
	{AttemptFailed, Info, "attemptFailed", "an attempt at a target did not give a good answer"},
}
