package thlimit_test

import (
	"fmt"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thconfig"
	"tamarackhollow/core/thlimit"
	"tamarackhollow/core/throster"
)

// A program of its own can keep the limits of a fleet: it carries the asks to
// the homes and the grants back.
func ExampleSpender() {
	u := thconfig.Customer{Name: "depot", Deployment: "cordial", Rate: 1, Burst: 2}
	var c thconfig.Config
	r, err := thconfig.NextRecord(c, "first", thconfig.PutDeployment{
		Deployment: thconfig.Deployment{Name: "cordial"}, Customers: []thconfig.Customer{u},
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	if c, err = c.WithRecord(r); err != nil {
		fmt.Println(err)
		return
	}
	vm := throster.VM{ID: "vm1", Zone: "a", Incarnation: 1}
	layout := thlimit.NewLayout(throster.NewRoster(1, []throster.VM{vm}))
	now := thclock.At(time.Hour)

	home := thlimit.NewHome(vm, throster.FreshFor)
	home.Adopt(now, layout)
	home.Accept(now, 1)
	home.Configure(now, c)

	now = now.Add(time.Minute)
	var spender thlimit.Spender
	for range 3 {
		var try thlimit.Try
		d := spender.Admit(now, layout, u, &try)
		if d.Verdict == thlimit.Asking {
			grant, _ := home.Ask(now, vm, d.Ask.Ask)
			spender.Answer(now, d.Ask.Ask.Part, grant)
			d = spender.Admit(now, layout, u, &try)
		}
		fmt.Println(d.Verdict == thlimit.Admitted)
	}
	// Output:
	// true
	// true
	// false
}
