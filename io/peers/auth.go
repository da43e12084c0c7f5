package peers

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"egretdock/io/config"
)

const (
	authHeader = "X-Egretdock-Auth"
	// maxSkew bounds the clock difference between two balancers and the time in
	// which a recorded call can be replayed. Calls only read, so a replay
	// reveals nothing that the recorded response did not.
	maxSkew = time.Minute
)

var errUnauthenticated = errors.New("the call is not signed with the fleet key, or the clocks differ by more than a minute")

// auth is an interceptor that signs requests and responses with the fleet key.
// The signature of a response covers the token of its request, so that the
// response can't be used to answer another request.
type auth struct {
	key config.Key
	now func() time.Time
}

// WrapUnary signs requests and verifies responses on a client; on a server it
// verifies requests and signs responses.
func (a auth) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
		if req.Spec().IsClient {
			return a.clientCall(ctx, req, next)
		}
		return a.serverCall(ctx, req, next)
	}
}

// WrapStreamingClient returns next unchanged: the services have no streams.
func (auth) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return next
}

// WrapStreamingHandler rejects all streams, since auth does not verify them.
func (auth) WrapStreamingHandler(connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return func(context.Context, connect.StreamingHandlerConn) error {
		return connect.NewError(connect.CodeUnauthenticated, errUnauthenticated)
	}
}

func (a auth) clientCall(ctx context.Context, req connect.AnyRequest, next connect.UnaryFunc) (connect.AnyResponse, error) {
	token := a.newToken(req.Spec().Procedure, req.Any())
	req.Header().Set(authHeader, token)
	res, err := next(ctx, req)
	if err != nil {
		return nil, err
	}
	if !a.verify(token, res.Any(), res.Header().Get(authHeader)) {
		return nil, connect.NewError(connect.CodeUnauthenticated, errUnauthenticated)
	}
	return res, nil
}

func (a auth) serverCall(ctx context.Context, req connect.AnyRequest, next connect.UnaryFunc) (connect.AnyResponse, error) {
	token := req.Header().Get(authHeader)
	if !a.verify(req.Spec().Procedure, req.Any(), token) {
		return nil, connect.NewError(connect.CodeUnauthenticated, errUnauthenticated)
	}
	res, err := next(ctx, req)
	if err != nil {
		return nil, err
	}
	res.Header().Set(authHeader, a.newToken(token, res.Any()))
	return res, nil
}

// newToken returns "<unix milliseconds>:<hex HMAC>" for the auth header.
func (a auth) newToken(scope string, msg any) string {
	at := strconv.FormatInt(a.now().UnixMilli(), 10)
	return at + ":" + hex.EncodeToString(a.mac(scope, at, msg))
}

// verify reports whether the token belongs to msg and its time differs from now
// by at most maxSkew.
func (a auth) verify(scope string, msg any, token string) bool {
	at, sum, _ := strings.Cut(token, ":")
	ms, err := strconv.ParseInt(at, 10, 64)
	if err != nil || a.now().Sub(time.UnixMilli(ms)).Abs() > maxSkew {
		return false
	}
	got, err := hex.DecodeString(sum)
	return err == nil && hmac.Equal(got, a.mac(scope, at, msg))
}

// mac authenticates a message together with its time and its scope: the
// procedure for a request, the token of the request for a response.
func (a auth) mac(scope, at string, msg any) []byte {
	h := hmac.New(sha256.New, a.key.Bytes())
	_, _ = h.Write([]byte(scope + "\n" + at + "\n"))
	if m, ok := msg.(proto.Message); ok {
		// Deterministic encoding gives the same bytes on both sides.
		b, _ := proto.MarshalOptions{Deterministic: true}.Marshal(m)
		_, _ = h.Write(b)
	}
	return h.Sum(nil)
}
