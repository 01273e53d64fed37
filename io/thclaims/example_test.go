package thclaims_test

import (
	"context"
	"fmt"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/therror"
	"tamarackhollow/core/thevent"
	"tamarackhollow/core/threquest"
	"tamarackhollow/core/throster"
	"tamarackhollow/io/thclaims"
)

// An order is sent through one VM and again through another. Any
// thstore.Platform may stand in the place of the store of this example.
func ExampleClaims_Run() {
	store := newFakeStore(1)
	runs := 0
	ship := func(context.Context, *threquest.Request) (*threquest.Answer, error) {
		runs++
		return &threquest.Answer{Status: 201, Body: []byte("dispatch 7")}, nil
	}
	for _, vm := range []string{"vm1", "vm2"} {
		claims := thclaims.New(thclaims.Options{
			Platform: store, Clock: thclock.System{}, Log: thevent.Discard{}, Self: throster.VM{ID: vm},
		})
		answer, err := claims.Run(context.Background(), order("key-1", "40 crates"), ship)
		if err != nil {
			fmt.Println(therror.KindOf(err))
			continue
		}
		fmt.Printf("%s: %d %s\n", vm, answer.Status, answer.Body)
		// A VM that stops records what is pending.
		if err := claims.Leave(context.Background()); err != nil {
			fmt.Println(therror.KindOf(err))
		}
	}
	fmt.Println("runs:", runs)
	// Output:
	// vm1: 201 dispatch 7
	// vm2: 201 dispatch 7
	// runs: 1
}
