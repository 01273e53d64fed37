package thtemplate_test

import (
	"fmt"

	"tamarackhollow/core/thconfig"
	"tamarackhollow/core/thtemplate"
)

func ExampleTemplate_Expand() {
	t, err := thtemplate.Parse(`
template = "small"

[parameters.targets]
type = "targets"
help = "where the service runs"

[[services]]
name = "stock"
targets = "${targets}"
slots = 2
connections = 300
floor = 0.6

[[routes]]
name = "stock"
host = "stock.example"
prefix = "/stock"
service = "stock"
`)
	if err != nil {
		fmt.Println(err)
		return
	}
	e, err := t.Expand("kigali", []thconfig.ParameterValue{
		{Name: "targets", Value: `[{"address": "10.0.0.1:80", "zone": "a"}]`},
	})
	fmt.Println(e.Deployment.Services[0].Targets[0].Address, err)
	_, err = t.Expand("kigali", nil)
	fmt.Println(err)
	// Output:
	// 10.0.0.1:80 <nil>
	// changeInvalid: parameter targets (targets) is missing: where the service runs
}
