package transporter

import (
	"context"
	"strings"

	"google.golang.org/grpc/metadata"
)

const (
	authorizationKey = "authorization"
	bearerPrefix     = "Bearer "
)

// WithBearerToken returns a context that adds the bearer token (RFC 6750) to the
// metadata of calls. Without TLS the token is sent in plain text.
func WithBearerToken(ctx context.Context, token string) context.Context {
	return metadata.AppendToOutgoingContext(ctx, authorizationKey, bearerPrefix+token)
}

// BearerToken returns the token that the caller sent, or "" if there is none.
func BearerToken(ctx context.Context) string {
	values := metadata.ValueFromIncomingContext(ctx, authorizationKey)
	if len(values) != 1 || !strings.HasPrefix(values[0], bearerPrefix) {
		return ""
	}
	return strings.TrimPrefix(values[0], bearerPrefix)
}
