//go:build review

package main

import (
	"encoding/binary"
	"hash/fnv"
	"net/netip"
)

const (
	headerLen = 36
	flagSyn   = 128
	flagAck   = 32
	flagFin   = 1
	flagRst   = 4
	bounced   = 8
)

// sumKey is known to clients and servers only.
const sumKey = "review"

// flowID holds the four addresses and ports of a flow.
type flowID struct{ client, route netip.AddrPort }

// segment is a packet of a flow.
type segment struct {
	src, dst       netip.AddrPort
	seq, ack, echo uint32
	flags          byte
	sum            uint32
	data           []byte
}

func (p *segment) has(flag byte) bool { return p.flags&flag != 0 }

// encode returns the packet. Without signed, the sum is 0.
func (p *segment) encode(signed bool) []byte {
	b := make([]byte, headerLen, headerLen+len(p.data))
	le := binary.LittleEndian
	le.PutUint32(b[4:], p.seq)
	le.PutUint32(b[8:], p.ack)
	le.PutUint16(b[12:], p.src.Port())
	le.PutUint16(b[14:], p.dst.Port())
	putAddr(b[16:], p.dst.Addr())
	putAddr(b[20:], p.src.Addr())
	le.PutUint32(b[24:], p.echo)
	le.PutUint16(b[28:], uint16(len(p.data)))
	b[30] = p.flags
	b = append(b, p.data...)
	if signed {
		le.PutUint32(b, checksum(b))
	}
	return b
}

// decode returns the packet in a datagram. It reports false for one that is
// malformed.
func decode(b []byte) (segment, bool) {
	le := binary.LittleEndian
	if len(b) < headerLen || int(le.Uint16(b[28:])) != len(b)-headerLen {
		return segment{}, false
	}
	return segment{
		src: netip.AddrPortFrom(getAddr(b[20:]), le.Uint16(b[12:])), dst: netip.AddrPortFrom(getAddr(b[16:]), le.Uint16(b[14:])),
		seq: le.Uint32(b[4:]), ack: le.Uint32(b[8:]), echo: le.Uint32(b[24:]), flags: b[30], sum: le.Uint32(b),
		data: append([]byte(nil), b[headerLen:]...),
	}, true
}

// checksum covers all fields except echo, pad and the bounced flag.
func checksum(b []byte) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(sumKey))
	_, _ = h.Write(b[4:24])
	_, _ = h.Write(b[28:30])
	_, _ = h.Write([]byte{b[30] &^ bounced})
	_, _ = h.Write(b[headerLen:])
	return max(h.Sum32(), 1)
}

func putAddr(b []byte, a netip.Addr) {
	v := a.As4()
	b[0], b[1], b[2], b[3] = v[3], v[2], v[1], v[0]
}

func getAddr(b []byte) netip.Addr { return netip.AddrFrom4([4]byte{b[3], b[2], b[1], b[0]}) }
