package throute_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thconfig"
	"tamarackhollow/core/threquest"
	"tamarackhollow/core/throute"
)

// A balancer decides, its caller keeps the time and does the sending.
func ExampleBalancer() {
	now := thclock.At(time.Hour)
	spec := thconfig.Service{Name: "stock", Slots: 2, Floor: 0.5, Targets: []thconfig.Target{{Address: "10.0.0.1:80"}}}
	b := throute.NewBalancer[string](now, spec, throute.Place{ID: "vm1", VMs: 1}, rand.New(rand.NewPCG(1, 2)))

	q := &threquest.Request{Service: spec, Method: "GET", Deadline: now.Add(time.Second)}
	t := throute.Try{Request: q}
	fmt.Println("turn:", b.EnterNow(q))
	address, _ := b.Pick(now, &t)
	fmt.Println("send to", address)

	later := now.Add(20 * time.Millisecond)
	a := threquest.Attempt{Target: address, Sent: true, Answer: &threquest.Answer{Status: 200}, Began: now, Ended: later}
	fmt.Printf("%T\n", b.Settle(&t, a, false))
	b.Leave(later, q, later.Sub(now))
	// Output:
	// turn: true
	// send to 10.0.0.1:80
	// throute.Deliver
}

// A set never ejects below the floor, however many targets look sick.
func ExampleNewSet() {
	all := []throute.Candidate{
		{Address: "a", Sick: true, Severity: 9},
		{Address: "b", Sick: true, Severity: 12},
		{Address: "c", Sick: true, Severity: 7},
		{Address: "d"},
	}
	s := throute.NewSet(all, 0.5)
	fmt.Println("open", s.Open(), "ejected", s.Ejected(), "kept by the floor", s.Held())
	// Output: open [2 3] ejected [0 1] kept by the floor 1
}

// Few requests hardly wait for many.
func ExampleQueue() {
	now := thclock.At(time.Hour)
	var q throute.Queue[int]
	for i := range 5 {
		_, _ = q.Push(throute.Waiting[int]{Customer: "large", Item: i, Deadline: now.Add(time.Second)})
	}
	_, _ = q.Push(throute.Waiting[int]{Customer: "small", Item: 100, Deadline: now.Add(time.Second)})
	for range 3 {
		w, _, _ := q.Pop(now)
		fmt.Println(w.Customer, w.Item)
	}
	// Output:
	// large 0
	// small 100
	// large 1
}
