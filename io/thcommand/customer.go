package thcommand

import (
	"context"
	"flag"
	"strings"

	"tamarackhollow/core/thconfig"
	"tamarackhollow/core/therror"
	"tamarackhollow/io/thoperator"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// Customer adds, changes and removes customers.
func Customer(s Streams) *ffcli.Command {
	return group("customer", "add, change and remove customers", s, customerSet(s), customerRemove(s))
}

// customerFlags are the parameters that are to be set.
type customerFlags struct {
	rate       float64
	burst      int
	routes     string
	deployment string
}

func customerSet(s Streams) *ffcli.Command {
	c := &changer{remote: remote{streams: s}, yes: true}
	fs := c.flagSet("customer set")
	c.repeatFlags(fs)
	var f customerFlags
	fs.Float64Var(&f.rate, "rate", 0, "requests a second over all VMs together")
	fs.IntVar(&f.burst, "burst", 0, "requests at once over all VMs together")
	fs.StringVar(&f.routes, "routes", "", "names of routes separated by commas; all means every route of the deployment")
	fs.StringVar(&f.deployment, "deployment", "", "the deployment of a new customer")
	return &ffcli.Command{
		Name:       "set",
		ShortUsage: "tamarackhollow customer set [flags] NAME",
		ShortHelp:  "add a customer or change the parameters that are given",
		FlagSet:    fs,
		Options:    options(),
		Exec: func(ctx context.Context, args []string) error {
			if err := arguments(args, 1, 1, "customer set [flags] NAME"); err != nil {
				return err
			}
			u, err := c.customer(ctx, args[0])
			if err != nil {
				return err
			}
			return c.make(ctx, c.changeID, thconfig.SetCustomer{Customer: f.onto(u)})
		},
	}
}

// customer returns the customer as it stands, or one that only has the name.
func (c *changer) customer(ctx context.Context, name string) (thconfig.Customer, error) {
	client, err := c.client()
	if err != nil {
		return thconfig.Customer{}, err
	}
	ctx, cancel := c.bounded(ctx)
	defer cancel()
	a, err := client.Get(ctx, thoperator.Customers, name)
	if therror.Is(err, therror.NotFound) {
		return thconfig.Customer{Name: name}, nil
	}
	if err != nil {
		return thconfig.Customer{}, err
	}
	return a.Customers[0], nil
}

func (f customerFlags) onto(u thconfig.Customer) thconfig.Customer {
	if f.rate != 0 {
		u.Rate = f.rate
	}
	if f.burst != 0 {
		u.Burst = f.burst
	}
	if f.deployment != "" {
		u.Deployment = f.deployment
	}
	switch f.routes {
	case "":
	case "all":
		u.Routes = nil
	default:
		u.Routes = strings.Split(f.routes, ",")
	}
	return u
}

func customerRemove(s Streams) *ffcli.Command {
	c := &changer{remote: remote{streams: s}}
	fs := c.flagSet("customer remove")
	fs.BoolVar(&c.yes, "yes", false, "make the change without asking")
	c.repeatFlags(fs)
	return &ffcli.Command{
		Name:       "remove",
		ShortUsage: "tamarackhollow customer remove [flags] NAME",
		ShortHelp:  "remove a customer and withdraw its keys",
		FlagSet:    fs,
		Options:    options(),
		Exec: func(ctx context.Context, args []string) error {
			if err := arguments(args, 1, 1, "customer remove [flags] NAME"); err != nil {
				return err
			}
			return c.make(ctx, c.changeID, thconfig.RemoveCustomer{Name: args[0]})
		},
	}
}

// repeatFlags are the flags of every command that makes one change.
func (c *changer) repeatFlags(fs *flag.FlagSet) {
	fs.BoolVar(&c.dryRun, "dryRun", false, "only show the differences")
	fs.StringVar(&c.changeID, "changeId", "", "name of the change, to repeat one whose answer was lost")
}
