package injector

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"syscall"
	"time"
)

// Bounds of the duration of a fault. Faults of the leader that last longer than the election
// timeout (500 ms) make another replica the leader.
const (
	minFault = 300 * time.Millisecond
	maxFault = 1500 * time.Millisecond
	// maxDelay is the upper bound of the delay of each block of bytes in a relay.
	maxDelay = 100 * time.Millisecond
	// faultKinds is the number of kinds of faults that InjectFault knows.
	faultKinds = 5
)

// InjectFault injects a fault of the given kind into a random replica, at least half of the
// time the leader. It waits until all replicas have converged again, because the loss of a data
// folder must not coincide with another fault. It returns a description of the fault.
func (c *Cluster) InjectFault(ctx context.Context, kind int, random *rand.Rand) (string, error) {
	names := make([]string, 0, len(c.Replicas))
	for _, r := range c.Replicas {
		names = append(names, r.Name)
	}
	r := c.Replicas[random.IntN(len(c.Replicas))]
	if v, err := r.Vars(ctx); err == nil && v.Leader != "" && random.IntN(2) == 0 {
		r = c.Get(v.Leader)
	}
	duration := minFault + time.Duration(random.Int64N(int64(maxFault-minFault)))
	var err error
	var description string
	switch kind % faultKinds {
	case 0:
		description = "kill"
		r.Kill()
		time.Sleep(duration)
		err = c.StartReplica(r, names, false)
	case 1:
		description = "freeze"
		if err = r.Signal(syscall.SIGSTOP); err == nil {
			time.Sleep(duration)
			err = r.Signal(syscall.SIGCONT)
		}
	case 2:
		description = "delete the folder of"
		r.Kill()
		if err = os.RemoveAll(c.DataFolder(r)); err == nil {
			err = c.StartReplica(r, names, false)
		}
	case 3:
		description = "cut"
		r.Relay.Partition()
		time.Sleep(duration)
		r.Relay.Heal()
	default:
		description = "delay"
		r.Relay.SetDelay(time.Duration(random.Int64N(int64(maxDelay))))
		time.Sleep(duration)
		r.Relay.Heal()
	}
	description = fmt.Sprintf("%s %s, %s", description, r.Name, duration)
	if err != nil {
		return description, err
	}
	return description, c.WaitConverged(ctx, names...)
}
