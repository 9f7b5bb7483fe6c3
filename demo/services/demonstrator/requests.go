package demonstrator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/redwingledge/redwingledge/demo/services/responder"
	"github.com/redwingledge/redwingledge/demo/services/starter"
	"github.com/redwingledge/redwingledge/demo/services/worker"
	"github.com/redwingledge/redwingledge/shared/models/announcer"
)

const (
	gatewayName      = "gateway-1"
	requestService   = "amendments"
	workerHosts      = 2
	workerSlots      = 2
	workerDuration   = 20 * time.Millisecond
	orderCount       = 20
	requestTimeout   = 10 * time.Second
	firstGatewayPort = 30000
	gatewayFlows     = 8
)

// GatewayFlowKind returns the kind of flow that reaches the gateway.
func GatewayFlowKind() FlowKind {
	return FlowKind{
		Name: "TCP to the gateway", IsTCP: true, Caller: netip.MustParseAddr("203.0.113.8"),
		Address: netip.MustParseAddrPort("192.0.2.9:80"), Service: "front",
	}
}

// gatewayAddresses are the addresses of the gateway.
type gatewayAddresses struct {
	admin, http, peer netip.AddrPort
}

// StartGateway runs the gateway, and backend servers that answer requests.
func (s *System) StartGateway(ctx context.Context) error {
	for host := range workerHosts {
		if err := s.addWorker(ctx, HostName(host), dataCentre(host)); err != nil {
			return err
		}
	}
	token, err := s.writeFile("service-token", serviceToken)
	if err != nil {
		return err
	}
	arguments := []string{
		"--name", gatewayName, "--http-address", s.gatewayAddresses.http.String(), "--peer-address", s.gatewayAddresses.peer.String(),
		"--first-start", "--drain-delay", "1s", "--data-centre", dataCentre(0),
		"--announce-service", GatewayFlowKind().Service, "--announce-token-file", token,
	}
	s.mu.Lock()
	for _, entry := range s.entries {
		arguments = append(arguments, "--entry", entry.grpc.String(), "--announce-to", entry.announce.String())
	}
	s.mu.Unlock()
	process, err := starter.Start(gatewayName, s.program("gateway"), s.settings.Folder, s.gatewayAddresses.admin, arguments...)
	if err != nil {
		return err
	}
	s.gateway = process
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	return process.WaitReady(ctx)
}

// ConnectToGateway opens flows to the front service. Its only backend server is the gateway,
// which announces itself. A simulated backend server answers at the gateway's address, because
// the simulated fabric does not deliver packets to the kernel's TCP stack.
func (s *System) ConnectToGateway(ctx context.Context, show func(string)) error {
	address := s.gatewayAddresses.http
	s.fabric.Attach(address.Addr(), responder.NewServer(GatewayFlowKind().Service, gatewayName, address, s.fabric))
	load, err := s.OpenFlows(ctx, GatewayFlowKind(), firstGatewayPort, gatewayFlows)
	if err != nil {
		return err
	}
	hosts := load.Hosts()
	if _, failures := load.Finish(); len(failures) > 0 {
		return fmt.Errorf("flows to the gateway failed: %w", errors.Join(failures...))
	}
	show(fmt.Sprintf("%d flows to the front service reached %v\n", gatewayFlows, hosts))
	return nil
}

// SendOrders sends each order twice with the same idempotency key. It returns an error unless
// each ran exactly once and both answers say so.
func (s *System) SendOrders(ctx context.Context, show func(string)) error {
	for i := range orderCount {
		key := fmt.Sprintf("order-%d", i)
		for range 2 {
			result, err := s.post(ctx, key)
			if err != nil {
				return err
			}
			if result.Runs != 1 {
				return fmt.Errorf("the answer to %s says that it ran %d times", key, result.Runs)
			}
		}
	}
	total := make(map[string]int)
	for _, w := range s.workers {
		runs, peak := w.Runs()
		for key, count := range runs {
			total[key] += count
		}
		if peak > workerSlots {
			return fmt.Errorf("a backend server with %d slots ran %d requests at a time", workerSlots, peak)
		}
	}
	for key, count := range total {
		if count != 1 {
			return fmt.Errorf("%s ran %d times", key, count)
		}
	}
	show(fmt.Sprintf("%d orders were sent twice each and ran once each\n", len(total)))
	return nil
}

func (s *System) addWorker(ctx context.Context, host, dataCentre string) error {
	w, err := worker.Listen(host, workerSlots, workerDuration)
	if err != nil {
		return err
	}
	s.workers = append(s.workers, w)
	s.running.Go(w.Serve)
	serverAdvertiser := s.register(announcer.Announcement{
		ID: announcer.ID{Service: requestService, Host: host}, Address: w.Addr(), DataCentre: dataCentre,
		Slots: workerSlots, Connections: 2000,
	})
	return serverAdvertiser.Announce(ctx)
}

func (s *System) post(ctx context.Context, key string) (worker.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	url := fmt.Sprintf("http://%s/%s/orders", s.gatewayAddresses.http, requestService)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(`{"bales": 12}`))
	if err != nil {
		return worker.Result{}, fmt.Errorf("send %s: %w", key, err)
	}
	request.Header.Set("Idempotency-Key", `"`+key+`"`)
	request.Header.Set("Member", "cooperative-1")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return worker.Result{}, fmt.Errorf("send %s: %w", key, err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return worker.Result{}, fmt.Errorf("read the answer to %s: %w", key, err)
	}
	if response.StatusCode != http.StatusOK {
		return worker.Result{}, fmt.Errorf("the answer to %s is %s: %s", key, response.Status, body)
	}
	var result worker.Result
	if err := json.Unmarshal(body, &result); err != nil {
		return worker.Result{}, fmt.Errorf("read the answer to %s: %w", key, err)
	}
	return result, nil
}
