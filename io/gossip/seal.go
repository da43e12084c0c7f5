// Package gossip encodes membership messages in protobuf wire format and
// authenticates them.
//
// A frame is the sender, a counter and the encoded message, followed by the first
// 16 bytes of their HMAC-SHA256 with the fleet key. All balancers hold the same
// key, so a frame proves that a member of the fleet wrote it, not which one.
// Frames are not encrypted.
package gossip

import (
	"crypto/hmac"
	"crypto/sha256"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"egretdock/core/fault"
	"egretdock/core/member"
)

// tagSize is the length of the truncated tag in bytes.
const tagSize = 16

// MaxFrameSize is the largest frame in bytes that Open accepts. A page of
// balancers with names of maximum length fits.
const MaxFrameSize = 4096

// minKeySize is the minimum length of a fleet key in bytes. With a 16-byte tag, a
// longer key adds no security.
const minKeySize = 16

// CheckKey returns an error if a fleet key is too short.
func CheckKey(key []byte) error {
	if len(key) < minKeySize {
		return fault.New(fault.KindInvalid, fmt.Sprintf("fleet key has %d bytes, needs %d", len(key), minKeySize),
			"set the same random key of 16 bytes or more on all balancers")
	}
	return nil
}

// Sealer encodes and authenticates messages. It is safe for concurrent use.
type Sealer struct {
	key []byte
	// sender distinguishes this process from all others.
	sender  uint64
	counter atomic.Uint64
}

// NewSealer returns a sealer. sender must be random for each process.
func NewSealer(key []byte, sender uint64) (*Sealer, error) {
	if err := CheckKey(key); err != nil {
		return nil, err
	}
	return &Sealer{key: key, sender: sender}, nil
}

// Seal returns the frame of a message.
func (s *Sealer) Seal(m member.Message) []byte {
	b := make([]byte, 0, 512)
	b = protowire.AppendTag(b, fieldSender, protowire.Fixed64Type)
	b = protowire.AppendFixed64(b, s.sender)
	b = appendUint(b, fieldCounter, s.counter.Add(1))
	b = appendMessage(b, m)
	return append(b, tag(s.key, b)...)
}

// Opener authenticates and decodes frames, and rejects replayed frames.
// It is safe for concurrent use.
type Opener struct {
	key []byte
	mu  sync.Mutex
	// seen is protected by mu.
	seen replayFilter
}

// NewOpener returns an opener.
func NewOpener(key []byte) (*Opener, error) {
	if err := CheckKey(key); err != nil {
		return nil, err
	}
	return &Opener{key: key}, nil
}

// Open returns the message in a frame. The error has KindUnauthentic for a wrong
// tag or a replay, and KindInvalid for a frame that can't be decoded.
func (o *Opener) Open(now time.Time, frame []byte) (member.Message, error) {
	if len(frame) < tagSize || len(frame) > MaxFrameSize {
		return nil, fault.New(fault.KindInvalid, fmt.Sprintf("gossip frame of %d bytes", len(frame)),
			"check that only balancers send to the peer port")
	}
	body, mac := frame[:len(frame)-tagSize], frame[len(frame)-tagSize:]
	if !hmac.Equal(mac, tag(o.key, body)) {
		return nil, fault.New(fault.KindUnauthentic, "gossip frame has a wrong tag",
			"check that all balancers have the same fleet key")
	}
	f, err := decode(body)
	if err != nil {
		return nil, fault.Wrap(err, fault.KindInvalid, "gossip frame can't be decoded",
			"check that all balancers run compatible versions")
	}
	o.mu.Lock()
	fresh := o.seen.accept(now, f.sender, f.counter)
	o.mu.Unlock()
	if !fresh {
		return nil, fault.New(fault.KindUnauthentic, fmt.Sprintf("gossip frame %d of sender %x was replayed or arrived too late", f.counter, f.sender),
			"ignore single frames; if they persist, look for a host that resends traffic")
	}
	return f.message, nil
}

func tag(key, body []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write(body)
	return h.Sum(nil)[:tagSize]
}
