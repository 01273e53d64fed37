package thevent

// Events 600 to 699 concern requests and attempts.
const (
	RequestAnswered ID = 603
	RequestRefused  ID = 604
	AttemptFailed   ID = 605
)

var requestEvents = []Event{
	{RequestAnswered, Info, "requestAnswered", "a request got a target's answer"},
	{RequestRefused, Info, "requestRefused", "a request was refused"},
	{AttemptFailed, Info, "attemptFailed", "an attempt at a target did not give a good answer"},
}
