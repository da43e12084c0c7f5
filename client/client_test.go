package client

import (
	"context"
	"errors"
	"net/netip"
	"testing"
	"time"

	"go.uber.org/goleak"

	"egretdock/core/packet"
	"egretdock/io/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var service = netip.MustParseAddrPort("10.1.0.1:7001")

// script is a link whose other end is a function: it sees each packet that the
// client sends and returns the packets that the client receives.
type script struct {
	out  chan []byte
	done chan struct{}
	far  func(p packet.Packet) []packet.Body
}

const handshake = 77

func (s *script) Send(b []byte) error {
	var d wire.Decoder
	var p packet.Packet
	if err := d.Decode(b, &p); err != nil {
		return err
	}
	for _, body := range s.far(p) {
		q := packet.Packet{Header: packet.Header{Flow: p.Flow, Address: p.Address, Handshake: handshake}, Body: body}
		s.out <- wire.Append(nil, &q)
	}
	return nil
}

func (s *script) Receive(b []byte) (int, error) {
	select {
	case m := <-s.out:
		return copy(b, m), nil
	case <-s.done:
		return 0, context.Canceled
	}
}

func (s *script) Close() error {
	close(s.done)
	return nil
}

func newFlow(t *testing.T, far func(packet.Packet) []packet.Body) *Flow {
	t.Helper()
	s := &script{out: make(chan []byte, 64), done: make(chan struct{}), far: func(p packet.Packet) []packet.Body {
		if _, ok := p.Body.(*packet.Open); ok {
			return []packet.Body{&packet.Accept{}}
		}
		return far(p)
	}}
	c := New(s, Options{Seed: 1, RetransmitInterval: 5 * time.Millisecond})
	t.Cleanup(func() { _ = c.Close() })
	f, err := c.Open(t.Context(), service)
	if err != nil {
		t.Fatal(err)
	}
	return f
}

func wantAnswer(t *testing.T, f *Flow, want string) {
	t.Helper()
	got, err := f.Do(t.Context(), []byte("work"))
	if err != nil || string(got) != want {
		t.Errorf("answer = %q, %v; want %q", got, err, want)
	}
}

func wantError[E error](t *testing.T, err error) {
	t.Helper()
	var e E
	if !errors.As(err, &e) {
		t.Errorf("got %v, want %T", err, e)
	}
}

// Guards against answers that are cut, crossed or repeated.
func TestWholeAnswer(t *testing.T) {
	part := func(id uint64, n, of uint32, b string) packet.Body {
		return &packet.Answer{ID: id, Part: n, Parts: of, Payload: []byte(b)}
	}
	for name, replies := range map[string][]packet.Body{
		"in order":              {part(1, 0, 2, "ab"), part(1, 1, 2, "cd")},
		"crossed":               {part(1, 1, 2, "cd"), part(1, 0, 2, "ab")},
		"repeated":              {part(1, 0, 2, "ab"), part(1, 0, 2, "ab"), part(1, 1, 2, "cd")},
		"with another's answer": {part(9, 0, 1, "xx"), part(1, 0, 2, "ab"), part(1, 1, 2, "cd")},
		"with a damaged part":   {part(1, 5, 2, "xx"), part(1, 0, 0, "xx"), part(1, 0, 2, "ab"), part(1, 1, 2, "cd")},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFlow(t, func(p packet.Packet) []packet.Body {
				if _, ok := p.Body.(*packet.Request); ok {
					return replies
				}
				return nil
			})
			wantAnswer(t, f, "abcd")
		})
	}
}

// Guards against an outcome that says more than the client can know.
func TestOutcomes(t *testing.T) {
	do := func(t *testing.T, far func(packet.Packet) []packet.Body) error {
		t.Helper()
		f := newFlow(t, far)
		ctx, cancel := context.WithTimeout(t.Context(), 30*time.Millisecond)
		defer cancel()
		_, err := f.Do(ctx, []byte("work"))
		return err
	}
	t.Run("silence is unknown", func(t *testing.T) {
		wantError[*UnknownError](t, do(t, func(packet.Packet) []packet.Body { return nil }))
	})
	t.Run("reset is unknown", func(t *testing.T) {
		wantError[*UnknownError](t, do(t, func(p packet.Packet) []packet.Body {
			if r, ok := p.Body.(*packet.Request); ok {
				return []packet.Body{&packet.Reset{ID: r.ID, Attempt: r.Attempt}}
			}
			return nil
		}))
	})
	t.Run("refusal is not run", func(t *testing.T) {
		wantError[*NotRunError](t, do(t, func(p packet.Packet) []packet.Body {
			if r, ok := p.Body.(*packet.Request); ok {
				return []packet.Body{&packet.Refuse{ID: r.ID, Attempt: r.Attempt, Reason: packet.ReasonShed}}
			}
			return nil
		}))
	})
	t.Run("cancel that came in time is not run", func(t *testing.T) {
		wantError[*NotRunError](t, do(t, func(p packet.Packet) []packet.Body {
			if r, ok := p.Body.(*packet.Cancel); ok {
				return []packet.Body{&packet.Refuse{ID: r.ID, Attempt: r.Attempt, Reason: packet.ReasonCancelled}}
			}
			return nil
		}))
	})
	t.Run("refusal of another request is ignored", func(t *testing.T) {
		wantError[*UnknownError](t, do(t, func(packet.Packet) []packet.Body {
			return []packet.Body{&packet.Refuse{ID: 9, Attempt: 1}}
		}))
	})
}
