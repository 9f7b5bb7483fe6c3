package routers

import (
	"context"
	"crypto/tls"
	"fmt"
	"net/netip"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/redwingledge/redwingledge/gateway/models/messenger"
	"github.com/redwingledge/redwingledge/gateway/models/viewer"
	"github.com/redwingledge/redwingledge/gateway/services/claimer"
	"github.com/redwingledge/redwingledge/gateway/services/scheduler"
	"github.com/redwingledge/redwingledge/shared/modules/transporter"
)

// ListenPeer binds the address of the gRPC service redwingledge.gateway.Peer.
func ListenPeer(addr netip.AddrPort, config *tls.Config, claims *claimer.Service, slots *scheduler.Service) (*transporter.Server, error) {
	service := transporter.NewService(messenger.ServiceName)
	transporter.Handle(service, messenger.MethodClaim, func(ctx context.Context, req *messenger.ClaimRequest) (*messenger.ClaimAnswer, error) {
		answer, err := claims.AnswerClaim(ctx, *req)
		return &answer, toStatus(err)
	})
	transporter.Handle(service, messenger.MethodRecord, func(_ context.Context, req *messenger.RecordRequest) (*messenger.RecordAnswer, error) {
		claims.AnswerRecord(*req)
		return &messenger.RecordAnswer{}, nil
	})
	transporter.Handle(service, messenger.MethodHandOver, func(ctx context.Context, req *messenger.HandOverRequest) (*messenger.HandOverAnswer, error) {
		answer, err := claims.AnswerHandOver(ctx, *req)
		return &answer, toStatus(err)
	})
	transporter.Handle(service, messenger.MethodGrantSlots, func(ctx context.Context, req *messenger.GrantRequest) (*messenger.GrantAnswer, error) {
		answer, err := slots.Grant(ctx, *req)
		return &answer, toStatus(err)
	})
	return transporter.Listen(addr, config, service)
}

func toStatus(err error) error {
	if err == nil {
		return nil
	}
	return status.FromContextError(err).Err()
}

// PeerClient sends messages to other gateways.
type PeerClient struct {
	pool *transporter.Pool
	view func() viewer.View
}

var (
	_ claimer.Sender   = (*PeerClient)(nil)
	_ scheduler.Sender = (*PeerClient)(nil)
)

// NewPeerClient returns a client that takes the addresses of gateways from the view.
func NewPeerClient(config *tls.Config, view func() viewer.View) *PeerClient {
	return &PeerClient{pool: transporter.NewPool(config), view: view}
}

// Close closes all connections.
func (c *PeerClient) Close() { c.pool.Close() }

// Claim asks a member of a claim group for a claim.
func (c *PeerClient) Claim(ctx context.Context, to viewer.Gateway, req messenger.ClaimRequest) (messenger.ClaimAnswer, error) {
	return call[messenger.ClaimRequest, messenger.ClaimAnswer](ctx, c, to.Address, messenger.MethodClaim, &req)
}

// Record records an outcome at a member of a claim group.
func (c *PeerClient) Record(ctx context.Context, to viewer.Gateway, req messenger.RecordRequest) error {
	_, err := call[messenger.RecordRequest, messenger.RecordAnswer](ctx, c, to.Address, messenger.MethodRecord, &req)
	return err
}

// HandOver pushes keys to a gateway or asks for a copy of its keys.
func (c *PeerClient) HandOver(ctx context.Context, to viewer.Gateway, req messenger.HandOverRequest) (messenger.HandOverAnswer, error) {
	return call[messenger.HandOverRequest, messenger.HandOverAnswer](ctx, c, to.Address, messenger.MethodHandOver, &req)
}

// GrantSlots asks the owner of backend servers for slots.
func (c *PeerClient) GrantSlots(ctx context.Context, to string, req messenger.GrantRequest) (messenger.GrantAnswer, error) {
	g, ok := c.view().GetGateway(to)
	if !ok {
		return messenger.GrantAnswer{}, status.Error(codes.NotFound, fmt.Sprintf("gateway %q is not in the view", to))
	}
	return call[messenger.GrantRequest, messenger.GrantAnswer](ctx, c, g.Address, messenger.MethodGrantSlots, &req)
}

func call[Req, Resp any](ctx context.Context, c *PeerClient, addr netip.AddrPort, method string, req *Req) (Resp, error) {
	resp, err := transporter.Call[Req, Resp](ctx, c.pool, addr, "/"+messenger.ServiceName+"/"+method, req)
	if err != nil {
		var zero Resp
		return zero, err
	}
	return *resp, nil
}
