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
	// maxSkew bounds the difference of clocks and the time in which a recorded
	// call can be replayed. Calls only read, so a replay gains nothing that
	// the recording did not show.
	maxSkew = time.Minute
)

var errUnsigned = errors.New("the call is not signed with the fleet key, or the clocks differ by more than a minute")

// auth signs requests and responses with the fleet key. A response is signed
// together with the signature of its request, so that it fits no other.
type auth struct {
	key config.Key
	now func() time.Time
}

// WrapUnary signs as a client and verifies as a server.
func (a auth) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
		if req.Spec().IsClient {
			return a.call(ctx, req, next)
		}
		return a.serve(ctx, req, next)
	}
}

// WrapStreamingClient changes nothing, since there are no streams.
func (auth) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return next
}

// WrapStreamingHandler refuses streams, since they would not be verified.
func (auth) WrapStreamingHandler(connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return func(context.Context, connect.StreamingHandlerConn) error {
		return connect.NewError(connect.CodeUnauthenticated, errUnsigned)
	}
}

func (a auth) call(ctx context.Context, req connect.AnyRequest, next connect.UnaryFunc) (connect.AnyResponse, error) {
	sent := a.stamp(req.Spec().Procedure, req.Any())
	req.Header().Set(authHeader, sent)
	res, err := next(ctx, req)
	if err != nil {
		return nil, err
	}
	if !a.valid(sent, res.Any(), res.Header().Get(authHeader)) {
		return nil, connect.NewError(connect.CodeUnauthenticated, errUnsigned)
	}
	return res, nil
}

func (a auth) serve(ctx context.Context, req connect.AnyRequest, next connect.UnaryFunc) (connect.AnyResponse, error) {
	got := req.Header().Get(authHeader)
	if !a.valid(req.Spec().Procedure, req.Any(), got) {
		return nil, connect.NewError(connect.CodeUnauthenticated, errUnsigned)
	}
	res, err := next(ctx, req)
	if err != nil {
		return nil, err
	}
	res.Header().Set(authHeader, a.stamp(got, res.Any()))
	return res, nil
}

// stamp returns "<unix milliseconds>:<hex signature>".
func (a auth) stamp(scope string, msg any) string {
	at := strconv.FormatInt(a.now().UnixMilli(), 10)
	return at + ":" + hex.EncodeToString(a.sign(scope, at, msg))
}

func (a auth) valid(scope string, msg any, stamp string) bool {
	at, sum, _ := strings.Cut(stamp, ":")
	ms, err := strconv.ParseInt(at, 10, 64)
	if err != nil || a.now().Sub(time.UnixMilli(ms)).Abs() > maxSkew {
		return false
	}
	got, err := hex.DecodeString(sum)
	return err == nil && hmac.Equal(got, a.sign(scope, at, msg))
}

func (a auth) sign(scope, at string, msg any) []byte {
	h := hmac.New(sha256.New, a.key.Bytes())
	_, _ = h.Write([]byte(scope + "\n" + at + "\n"))
	if m, ok := msg.(proto.Message); ok {
		// The text is the same on both sides, since fields have one order.
		b, _ := proto.MarshalOptions{Deterministic: true}.Marshal(m)
		_, _ = h.Write(b)
	}
	return h.Sum(nil)
}
