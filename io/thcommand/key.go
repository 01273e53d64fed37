package thcommand

import (
	"context"
	"fmt"

	"tamarackhollow/core/thconfig"
	"tamarackhollow/core/therror"
	"tamarackhollow/io/thoperator"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// Key issues and withdraws customers' keys.
func Key(s Streams) *ffcli.Command {
	return group("key", "issue and withdraw customers' keys", s, keyIssue(s), keyWithdraw(s))
}

// issued is what is printed about a new key.
type issued struct {
	Key      string `json:"key"`
	ID       string `json:"id"`
	Customer string `json:"customer"`
	ChangeID string `json:"changeId"`
	thoperator.ApplyResult
}

func keyIssue(s Streams) *ffcli.Command {
	r := &remote{streams: s}
	return &ffcli.Command{
		Name:       "issue",
		ShortUsage: "tamarackhollow key issue [flags] CUSTOMER",
		ShortHelp:  "issue a key; it is shown this once and kept nowhere",
		FlagSet:    r.flagSet("key issue"),
		Options:    options(),
		Exec: func(ctx context.Context, args []string) error {
			if err := arguments(args, 1, 1, "key issue [flags] CUSTOMER"); err != nil {
				return err
			}
			return r.issue(ctx, args[0])
		},
	}
}

func (r *remote) issue(ctx context.Context, customer string) error {
	client, err := r.client()
	if err != nil {
		return err
	}
	ctx, cancel := r.bounded(ctx)
	defer cancel()
	text, k, err := client.NewKey(customer)
	if err != nil {
		return err
	}
	id, err := client.NewChangeID()
	if err != nil {
		return err
	}
	a, err := client.ApplyUntilAccepted(ctx, thoperator.ApplyRequest{ChangeID: id, Change: thconfig.IssueKey{Key: k}})
	if err != nil {
		return r.keyUnsure(k.ID, err)
	}
	out := issued{Key: text, ID: k.ID, Customer: customer, ChangeID: id, ApplyResult: a}
	if err := r.printKey(out); err != nil {
		return err
	}
	if a.State != thoperator.StateAccepted {
		return errSpreading
	}
	return nil
}

// keyUnsure says how to be rid of a key that may have been issued.
func (r *remote) keyUnsure(id string, err error) error {
	if endingOf(err).code != ExitUnknown {
		return err
	}
	return therror.Wrap(therror.KindOf(err), err, "key %s may have been issued, but is not shown; withdraw it if get keys lists it, and issue another", id)
}

func (r *remote) printKey(k issued) error {
	if r.json {
		return printJSON(r.streams.Out, k)
	}
	_, _ = fmt.Fprintf(r.streams.Out, "key of %s, shown this once:\n%s\nid %s, %s as version %d\n", k.Customer, k.Key, k.ID, k.State, k.Version)
	return nil
}

func keyWithdraw(s Streams) *ffcli.Command {
	c := &changer{remote: remote{streams: s}, yes: true}
	fs := c.flagSet("key withdraw")
	c.repeatFlags(fs)
	return &ffcli.Command{
		Name:       "withdraw",
		ShortUsage: "tamarackhollow key withdraw [flags] ID",
		ShortHelp:  "withdraw a key for good",
		FlagSet:    fs,
		Options:    options(),
		Exec: func(ctx context.Context, args []string) error {
			if err := arguments(args, 1, 1, "key withdraw [flags] ID"); err != nil {
				return err
			}
			return c.make(ctx, c.changeID, thconfig.WithdrawKey{ID: args[0]})
		},
	}
}
