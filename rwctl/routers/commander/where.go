package commander

import (
	"context"
	"io"
	"net/netip"
	"time"

	"github.com/redwingledge/redwingledge/rwctl/services/presenter"
	"github.com/redwingledge/redwingledge/rwctl/services/requester"
)

type whereCommand struct {
	Entry  netip.AddrPort `name:"entry" required:"" placeholder:"IP:PORT" help:"Metrics port of the entry."`
	Route  netip.AddrPort `name:"route" required:"" placeholder:"IP:PORT" help:"Address of the route."`
	Source netip.AddrPort `name:"source" placeholder:"IP:PORT" help:"Address of the caller, by which the weights choose a service."`
}

// whereName is kong's name of the where command, which asks an entry and needs no session.
const whereName = "where"

// run asks the entry and prints its answer. It does not contact control.
func (c whereCommand) run(ctx context.Context, w io.Writer, format presenter.Format, timeout time.Duration) error {
	explanation, err := requester.FetchPlacement(ctx, c.Entry, c.Route, c.Source, timeout)
	if err != nil {
		return err
	}
	return presenter.New(w, format).WritePlacement(explanation)
}
