package gossip

import (
	"net/netip"

	"google.golang.org/protobuf/encoding/protowire"

	"egretdock/core/member"
	"egretdock/core/model"
	"egretdock/core/packet"
)

// Fields of a frame. Exactly one of the message fields is present.
const (
	fieldSender      protowire.Number = 1  // fixed64
	fieldCounter     protowire.Number = 2  // uint64
	fieldPing        protowire.Number = 3  // message
	fieldAck         protowire.Number = 4  // message
	fieldPingRequest protowire.Number = 5  // message
	fieldPull        protowire.Number = 6  // message
	fieldPage        protowire.Number = 7  // message
	fieldFindings    protowire.Number = 8  // message
	fieldFlowQuery   protowire.Number = 9  // message
	fieldFlowReport  protowire.Number = 10 // message
)

// Fields of a message.
const (
	fieldSeq      protowire.Number = 1 // uint64
	fieldFrom     protowire.Number = 2 // balancer
	fieldRevision protowire.Number = 3 // uint64
	fieldDigest   protowire.Number = 4 // fixed64
	fieldUpdate   protowire.Number = 5 // repeated update
	fieldTarget   protowire.Number = 6 // balancer, PingRequest only
	fieldCursor   protowire.Number = 7 // string: After of Pull, Next of Page
	fieldFinding  protowire.Number = 8 // repeated finding, Findings only
	fieldFlow     protowire.Number = 9 // flow, FlowQuery and FlowReport only
)

// Fields of a finding.
const (
	fieldInstance protowire.Number = 1 // fixed64
	fieldFailures protowire.Number = 2 // uint64
)

// Fields of a flow. A query has only the two addresses.
const (
	fieldFlowClient   protowire.Number = 1 // bytes: IP, then port, big endian
	fieldFlowAddress  protowire.Number = 2 // bytes: as client
	fieldFlowStart    protowire.Number = 3 // uint64
	fieldFlowOpen     protowire.Number = 4 // uint64: 1 if open
	fieldFlowInstance protowire.Number = 5 // repeated fixed64
)

// Fields of a balancer and of an update; fieldStatus occurs in updates only.
const (
	fieldBalancerName protowire.Number = 1 // string
	fieldDataCentre   protowire.Number = 2 // string
	fieldIncarnation  protowire.Number = 3 // uint64
	fieldPeer         protowire.Number = 4 // bytes: IP, then port, big endian
	fieldFetch        protowire.Number = 5 // bytes: as peer; the IP is omitted if equal
	fieldStatus       protowire.Number = 6 // uint64
	fieldCapacity     protowire.Number = 7 // uint64
)

func appendMessage(b []byte, m member.Message) []byte {
	switch m := m.(type) {
	case *member.Ping:
		return appendBytes(b, fieldPing, appendHeader(nil, &m.Header))
	case *member.Ack:
		return appendBytes(b, fieldAck, appendHeader(nil, &m.Header))
	case *member.PingRequest:
		h := appendHeader(nil, &m.Header)
		return appendBytes(b, fieldPingRequest, appendBytes(h, fieldTarget, appendBalancer(nil, m.Target)))
	case *member.Pull:
		return appendBytes(b, fieldPull, appendString(appendHeader(nil, &m.Header), fieldCursor, m.After))
	case *member.Page:
		return appendBytes(b, fieldPage, appendString(appendHeader(nil, &m.Header), fieldCursor, m.Next))
	case *member.Findings:
		h := appendHeader(nil, &m.Header)
		for _, f := range m.List {
			h = appendBytes(h, fieldFinding, appendFinding(nil, f))
		}
		return appendBytes(b, fieldFindings, h)
	case *member.FlowQuery:
		h := appendHeader(nil, &m.Header)
		return appendBytes(b, fieldFlowQuery, appendBytes(h, fieldFlow, appendFlow(nil, m.Flow)))
	case *member.FlowReport:
		h := appendHeader(nil, &m.Header)
		return appendBytes(b, fieldFlowReport, appendBytes(h, fieldFlow, appendFlowReport(nil, m)))
	}
	return b
}

func appendHeader(b []byte, h *member.Header) []byte {
	b = appendUint(b, fieldSeq, h.Seq)
	b = appendBytes(b, fieldFrom, appendBalancer(nil, h.From))
	b = appendUint(b, fieldRevision, h.Revision)
	b = protowire.AppendTag(b, fieldDigest, protowire.Fixed64Type)
	b = protowire.AppendFixed64(b, h.Digest)
	for _, u := range h.Updates {
		b = appendBytes(b, fieldUpdate, appendUint(appendBalancer(nil, u.Balancer), fieldStatus, uint64(u.Status)))
	}
	return b
}

func appendFinding(b []byte, f member.Finding) []byte {
	b = protowire.AppendTag(b, fieldInstance, protowire.Fixed64Type)
	b = protowire.AppendFixed64(b, f.Instance)
	return appendUint(b, fieldFailures, uint64(f.Failures))
}

func appendFlow(b []byte, f packet.FlowID) []byte {
	b = appendBytes(b, fieldFlowClient, appendAddr(nil, f.Client, netip.Addr{}))
	return appendBytes(b, fieldFlowAddress, appendAddr(nil, f.Address, netip.Addr{}))
}

func appendFlowReport(b []byte, m *member.FlowReport) []byte {
	b = appendUint(appendFlow(b, m.Flow), fieldFlowStart, uint64(m.Start))
	if m.Open {
		b = appendUint(b, fieldFlowOpen, 1)
	}
	for _, id := range m.Instances {
		b = protowire.AppendTag(b, fieldFlowInstance, protowire.Fixed64Type)
		b = protowire.AppendFixed64(b, id)
	}
	return b
}

func appendBalancer(b []byte, v model.Balancer) []byte {
	b = appendString(b, fieldBalancerName, v.Name)
	b = appendString(b, fieldDataCentre, v.DataCentre)
	b = appendUint(b, fieldIncarnation, v.Incarnation)
	if v.Peer.IsValid() {
		b = appendBytes(b, fieldPeer, appendAddr(nil, v.Peer, netip.Addr{}))
	}
	if v.Fetch.IsValid() {
		b = appendBytes(b, fieldFetch, appendAddr(nil, v.Fetch, v.Peer.Addr()))
	}
	return appendUint(b, fieldCapacity, uint64(v.Capacity))
}

// appendAddr appends an address, without the IP if it equals omittedIP.
func appendAddr(b []byte, a netip.AddrPort, omittedIP netip.Addr) []byte {
	if a.Addr() != omittedIP {
		b = append(b, a.Addr().AsSlice()...)
	}
	return append(b, byte(a.Port()>>8), byte(a.Port()))
}

func appendUint(b []byte, n protowire.Number, v uint64) []byte {
	if v == 0 {
		return b
	}
	return protowire.AppendVarint(protowire.AppendTag(b, n, protowire.VarintType), v)
}

func appendString(b []byte, n protowire.Number, v string) []byte {
	if v == "" {
		return b
	}
	return protowire.AppendString(protowire.AppendTag(b, n, protowire.BytesType), v)
}

func appendBytes(b []byte, n protowire.Number, v []byte) []byte {
	return protowire.AppendBytes(protowire.AppendTag(b, n, protowire.BytesType), v)
}
