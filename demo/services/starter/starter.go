// Package starter runs the programs of the system as separate processes for the
// demonstration and the end-to-end tests.
package starter

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// readyPollInterval is the pause between two readiness checks.
const readyPollInterval = 50 * time.Millisecond

// Process is a running program with its log file.
type Process struct {
	Name  string
	Admin netip.AddrPort

	command      *exec.Cmd
	log          *os.File
	done         chan struct{}
	err          error
	closeLogOnce sync.Once
}

// Start runs a program. Its output goes to a file named after the process in
// logFolder. The admin address is passed as --admin-address.
func Start(name, binary, logFolder string, admin netip.AddrPort, args ...string) (*Process, error) {
	file, err := os.OpenFile(filepath.Join(logFolder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fmt.Errorf("open the log of %s: %w", name, err)
	}
	// The process must outlive the call of Start, so the command has no context; Kill and Stop
	// end the process.
	command := exec.Command(binary, append([]string{"--admin-address", admin.String()}, args...)...)
	command.Stdout, command.Stderr = file, file
	if err := command.Start(); err != nil {
		return nil, errors.Join(fmt.Errorf("start %s: %w", name, err), file.Close())
	}
	p := &Process{Name: name, Admin: admin, command: command, log: file, done: make(chan struct{})}
	go func() {
		p.err = command.Wait()
		close(p.done)
	}()
	return p, nil
}

// WaitReady waits until the process reports that it is ready.
func (p *Process) WaitReady(ctx context.Context) error {
	for {
		if p.IsReady(ctx) {
			return nil
		}
		select {
		case <-p.done:
			return fmt.Errorf("%s ended before it was ready: %w; see %s", p.Name, errors.Join(p.err, errEnded), p.log.Name())
		case <-ctx.Done():
			return fmt.Errorf("%s is not ready: %w; see %s", p.Name, ctx.Err(), p.log.Name())
		case <-time.After(readyPollInterval):
		}
	}
}

var errEnded = errors.New("process ended")

// IsReady reports whether the process answers that it is ready.
func (p *Process) IsReady(ctx context.Context) bool {
	isReady, err := p.CheckReadiness(ctx)
	return err == nil && isReady
}

// CheckReadiness returns the answer of the process to its readiness check. It returns an error if
// there is no answer within 1 s.
func (p *Process) CheckReadiness(ctx context.Context) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.Admin.String()+"/readyz", nil)
	if err != nil {
		return false, fmt.Errorf("check the readiness of %s: %w", p.Name, err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false, fmt.Errorf("check the readiness of %s: %w", p.Name, err)
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode == http.StatusOK, nil
}

// Counter returns the value of a counter that the process publishes under /debug/vars.
func (p *Process) Counter(ctx context.Context, name string) (float64, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.Admin.String()+"/debug/vars", nil)
	if err != nil {
		return 0, fmt.Errorf("read the counters of %s: %w", p.Name, err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, fmt.Errorf("read the counters of %s: %w", p.Name, err)
	}
	defer func() { _ = response.Body.Close() }()
	var vars struct {
		Counters map[string]any `json:"redwingledge"`
	}
	if err := json.NewDecoder(response.Body).Decode(&vars); err != nil {
		return 0, fmt.Errorf("read the counters of %s: %w", p.Name, err)
	}
	value, ok := vars.Counters[name].(float64)
	if !ok {
		return 0, fmt.Errorf("%s has no counter %q", p.Name, name)
	}
	return value, nil
}

// Signal sends a signal, such as SIGSTOP or SIGCONT.
func (p *Process) Signal(signal syscall.Signal) error { return p.command.Process.Signal(signal) }

// Stop ends the process with SIGTERM and waits for it. It returns an error if
// the process does not end before ctx or exits with a failure.
func (p *Process) Stop(ctx context.Context) error {
	if err := p.Signal(syscall.SIGTERM); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return fmt.Errorf("stop %s: %w", p.Name, err)
	}
	select {
	case <-p.done:
		p.closeLog()
		if p.err != nil {
			return fmt.Errorf("%s failed: %w; see %s", p.Name, p.err, p.log.Name())
		}
		return nil
	case <-ctx.Done():
		p.Kill()
		return fmt.Errorf("%s did not stop in time: %w", p.Name, ctx.Err())
	}
}

// Kill ends the process with SIGKILL and waits for it.
func (p *Process) Kill() {
	_ = p.Signal(syscall.SIGKILL)
	<-p.done
	p.closeLog()
}

func (p *Process) closeLog() { p.closeLogOnce.Do(func() { _ = p.log.Close() }) }
