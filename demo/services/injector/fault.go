package injector

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"syscall"
	"time"
)

// Bounds of a fault. Longer ones than the election timeout (500 ms) make another
// replica lead.
const (
	minFault = 300 * time.Millisecond
	maxFault = 1500 * time.Millisecond
	maxDelay = 100 * time.Millisecond
	// faultKinds is the number of kinds of faults of Disturb.
	faultKinds = 5
)

// Disturb runs a fault of the given kind at a random replica, half of the time
// the leader, and waits until all replicas are equal again, because the loss of a
// data folder must not meet another fault. It returns a description.
func (c *Cluster) Disturb(ctx context.Context, kind int, random *rand.Rand) (string, error) {
	names := make([]string, 0, len(c.Replicas))
	for _, r := range c.Replicas {
		names = append(names, r.Name)
	}
	r := c.Replicas[random.IntN(len(c.Replicas))]
	if v, err := r.Vars(ctx); err == nil && v.Leader != "" && random.IntN(2) == 0 {
		r = c.Get(v.Leader)
	}
	pause := minFault + time.Duration(random.Int64N(int64(maxFault-minFault)))
	var err error
	var what string
	switch kind % faultKinds {
	case 0:
		what = "kill"
		r.Kill()
		time.Sleep(pause)
		err = c.StartReplica(r, names, false)
	case 1:
		what = "freeze"
		if err = r.Signal(syscall.SIGSTOP); err == nil {
			time.Sleep(pause)
			err = r.Signal(syscall.SIGCONT)
		}
	case 2:
		what = "delete the folder of"
		r.Kill()
		if err = os.RemoveAll(c.DataFolder(r)); err == nil {
			err = c.StartReplica(r, names, false)
		}
	case 3:
		what = "cut"
		r.Relay.Cut()
		time.Sleep(pause)
		r.Relay.Heal()
	default:
		what = "delay"
		r.Relay.SetDelay(time.Duration(random.Int64N(int64(maxDelay))))
		time.Sleep(pause)
		r.Relay.Heal()
	}
	what = fmt.Sprintf("%s %s, %s", what, r.Name, pause)
	if err != nil {
		return what, err
	}
	return what, c.WaitSettled(ctx, names...)
}
