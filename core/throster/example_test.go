package throster_test

import (
	"fmt"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/throster"
)

// A VM that hears a majority knows every accepted change up to the moment it
// asked, without the store.
func ExampleNode() {
	a := throster.VM{ID: "a", Incarnation: 1}
	b := throster.VM{ID: "b", Incarnation: 1}
	roster := throster.NewRoster(1, []throster.VM{a, b})
	here, there := throster.NewNode(a), throster.NewNode(b)
	here.Advance(1, roster)
	there.Advance(1, roster)

	sent := thclock.At(time.Hour)
	question := here.Ask()
	answer := there.Answer(sent.Add(3*time.Millisecond), question)
	here.Answered(sent, answer)

	fmt.Println("may serve:", !sent.Add(time.Second).Passed(here.Deadline()))
	fmt.Println("and after a pause:", !sent.Add(time.Minute).Passed(here.Deadline()))
	// Output:
	// may serve: true
	// and after a pause: false
}

// A change is accepted once a majority is known to have it.
func ExampleNode_Tally() {
	var vms []throster.VM
	nodes := map[string]*throster.Node{}
	for _, id := range []string{"a", "b", "c"} {
		vms = append(vms, throster.VM{ID: id, Incarnation: 1})
	}
	roster := throster.NewRoster(1, vms)
	for _, v := range vms {
		nodes[v.ID] = throster.NewNode(v)
		nodes[v.ID].Advance(1, roster)
	}
	nodes["a"].Advance(2, roster)
	fmt.Printf("%+v\n", nodes["a"].Tally(2))

	now := thclock.At(time.Hour)
	nodes["b"].Advance(2, roster)
	nodes["a"].Answered(now, nodes["b"].Answer(now, nodes["a"].Ask()))
	fmt.Printf("%+v\n", nodes["a"].Tally(2))
	// Output:
	// {Acknowledged:1 Of:3 Accepted:false}
	// {Acknowledged:2 Of:3 Accepted:true}
}
