package throute_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/therror"
	"tamarackhollow/core/throute"
)

var noon = thclock.At(12 * time.Hour)

func waiting(customer string, item int) throute.Waiting[int] {
	return throute.Waiting[int]{Item: item, Customer: customer, Deadline: noon.Add(time.Hour)}
}

// TestQueueSharesEqually: whatever each customer sends, in every stretch in
// which two customers both wait, neither is served more than one more often.
func TestQueueSharesEqually(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q throute.Queue[int]
		n := rapid.IntRange(2, 6).Draw(t, "customers")
		left := map[string]int{}
		item := 0
		for c := range n {
			name := fmt.Sprint("c", c)
			for range rapid.IntRange(1, 60).Draw(t, "sent") {
				_, err := q.Push(waiting(name, item))
				assert.NilError(t, err)
				item++
				left[name]++
			}
		}
		served := map[string]int{}
		last := map[string]int{}
		for q.Len() > 0 {
			w, expired, ok := q.Pop(noon)
			assert.Assert(t, ok && len(expired) == 0)
			assert.Assert(t, w.Item >= last[w.Customer], "out of order")
			last[w.Customer] = w.Item
			served[w.Customer]++
			left[w.Customer]--
			for a := range left {
				for b := range left {
					if left[a] > 0 && left[b] > 0 {
						assert.Assert(t, served[a]-served[b] <= 1, "%v", served)
					}
				}
			}
		}
		for c, l := range left {
			assert.Equal(t, l, 0, c)
		}
	})
}

// TestQueueLosesNothing compares the queue with a plain list.
func TestQueueLosesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q throute.Queue[int]
		model := map[int]string{}
		now := noon
		for i := range rapid.IntRange(1, 200).Draw(t, "steps") {
			c := fmt.Sprint("c", rapid.IntRange(0, 4).Draw(t, "customer"))
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "pass")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				w := throute.Waiting[int]{Item: i, Customer: c, Cost: rapid.Float64Range(0, 20).Draw(t, "cost"), Deadline: now.Add(time.Duration(rapid.IntRange(1, 500).Draw(t, "left")) * time.Millisecond)}
				_, err := q.Push(w)
				assert.NilError(t, err)
				model[i] = c
			case 2:
				w, expired, ok := q.Pop(now)
				for _, e := range append(expired, throute.Waiting[int]{Item: -1}) {
					delete(model, e.Item)
				}
				if ok {
					assert.Equal(t, model[w.Item], w.Customer)
					assert.Assert(t, !now.Passed(w.Deadline))
					delete(model, w.Item)
				}
			case 3:
				pick := rapid.IntRange(0, i).Draw(t, "removed")
				_, there := model[pick]
				assert.Equal(t, q.Remove(model[pick], func(o int) bool { return o == pick }), there)
				delete(model, pick)
			case 4:
				q.Charge(c, rapid.Float64Range(0, 50).Draw(t, "charge"))
			}
			assert.Equal(t, q.Len(), len(model))
		}
	})
}

// TestFullQueueGivesUpTheLargest: a customer that fills the queue is the one
// that loses a place to another customer's request.
func TestFullQueueGivesUpTheLargest(t *testing.T) {
	var q throute.Queue[int]
	var err error
	for i := 0; err == nil; i++ {
		_, err = q.Push(waiting("large", i))
	}
	assert.Assert(t, therror.Is(err, therror.QueueFull))
	before := q.Len()
	displaced, err := q.Push(waiting("small", -1))
	assert.NilError(t, err)
	assert.Equal(t, len(displaced), 1)
	assert.Equal(t, displaced[0].Customer, "large")
	assert.Equal(t, q.Len(), before)
	assert.Equal(t, q.Ahead("small"), 3)
}

// TestSlowRequestsAreCharged: a customer whose requests take long gets fewer.
func TestSlowRequestsAreCharged(t *testing.T) {
	var q throute.Queue[int]
	for i := range 100 {
		for _, c := range []string{"quick", "slow"} {
			_, err := q.Push(waiting(c, i))
			assert.NilError(t, err)
		}
	}
	served := map[string]int{}
	for range 60 {
		w, _, _ := q.Pop(noon)
		served[w.Customer]++
		if w.Customer == "slow" {
			q.Charge("slow", 3)
		}
	}
	assert.Equal(t, served["quick"], 48)
}
