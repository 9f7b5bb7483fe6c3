package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"
)

// callTimeout is how long a caller of control waits for a response before it asks another machine.
const callTimeout = time.Second

// api calls the interface of control as PROTOCOL.md says.
type api struct {
	d      *deployment
	client *http.Client
}

func newAPI(d *deployment) *api {
	return &api{d: d, client: &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}}
}

// once makes one call to one machine, and follows two redirects. It returns 0 without a response.
func (a *api) once(ctx context.Context, m *machine, method, path string, body []byte) (int, []byte) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+netip.AddrPortFrom(m.ip, portControl).String()+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := a.client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	content, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, content
}

var errNotAcknowledged = errors.New("the order was not acknowledged")

// order sends an order until it is acknowledged, to one machine after the other.
func (a *api) order(ctx context.Context, method, path string, body []byte) error {
	for try := 0; ctx.Err() == nil; try++ {
		m := a.d.cores[try%len(a.d.cores)]
		status, _ := a.once(ctx, m, method, path, body)
		a.d.record.add("operator: %s %s to %s: %d", method, path, m.name, status)
		if status >= 200 && status < 300 {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errNotAcknowledged
}

type object = map[string]any

// route is a route of a desired state.
type route struct {
	name, kind, service string
	address             netip.AddrPort
}

// state returns a desired state.
func state(version int, idle time.Duration, coldPerSecond float64, services []string, routes ...route) []byte {
	var listed, declared []object
	for _, r := range routes {
		listed = append(listed, object{
			"name": r.name, "hostname": r.address.Addr().String(), "path-prefix": fmt.Sprintf("/%d/", r.address.Port()), "type": r.kind,
			"timeout-ms": 1000, "target-latency-ms": 150, "priority": 1, "service": r.service, "max-attempts": 2,
		})
	}
	for _, s := range services {
		declared = append(declared, object{
			"name": s, "health-check-path": "/health", "max-connections": 2000, "protocol": "h1", "tls": false, "cold-start-s": 2.0, "cold-per-s": coldPerSecond,
		})
	}
	body, err := json.Marshal(object{
		"version": version, "routes": listed, "services": declared,
		"limits": object{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": idle.Milliseconds()},
	})
	if err != nil {
		panic(err) // plain values always have an encoding
	}
	return body
}

// configure sends a desired state.
func (a *api) configure(ctx context.Context, body []byte) error {
	return a.order(ctx, http.MethodPut, "/redwingledge/config", body)
}
