package main

import (
	"context"
	"os"
	"time"

	"tamarackhollow/core/thsettings"
	"tamarackhollow/io/thlog"
	"tamarackhollow/io/thvm"

	"github.com/peterbourgon/ff/v3/ffcli"
)

func serveCommand() *ffcli.Command {
	return vmCommand("serve", "run one VM's process until SIGTERM, then drain it", serve)
}

// serve runs the VM until the context ends, and then drains it.
func serve(ctx context.Context, s thsettings.Settings) error {
	v, err := thvm.Start(thvm.Options{Settings: s, Incarnation: uint64(time.Now().UnixMilli())}, thlog.New(os.Stderr, s.VM.ID))
	if err != nil {
		return err
	}
	<-ctx.Done()
	return v.Stop(context.WithoutCancel(ctx))
}
