package gossip

import (
	"math"
	"net/netip"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/encoding/protowire"

	"egretdock/core/member"
	"egretdock/core/model"
)

// maxNameSize is the maximum length of the names of balancers and data centres in
// bytes.
const maxNameSize = 64

// frame holds the content of a frame without its tag.
type frame struct {
	sender  uint64
	counter uint64
	message member.Message
}

// field is one decoded field; bytes or number holds its value, depending on the
// wire type.
type field struct {
	id     protowire.Number
	bytes  []byte
	number uint64
}

// forEachField calls f for each field of an encoded message. Fields of other wire
// types are passed with id 0, which all callers skip, so that later versions can
// add such fields.
func forEachField(b []byte, f func(field) error) error {
	for len(b) > 0 {
		id, typ, n := protowire.ConsumeTag(b)
		if n < 0 {
			return protowire.ParseError(n)
		}
		b = b[n:]
		v := field{id: id}
		switch typ {
		case protowire.VarintType:
			v.number, n = protowire.ConsumeVarint(b)
		case protowire.Fixed64Type:
			v.number, n = protowire.ConsumeFixed64(b)
		case protowire.BytesType:
			v.bytes, n = protowire.ConsumeBytes(b)
		default:
			v.id = 0
			n = protowire.ConsumeFieldValue(id, typ, b)
		}
		if n < 0 {
			return protowire.ParseError(n)
		}
		b = b[n:]
		if err := f(v); err != nil {
			return err
		}
	}
	return nil
}

func decode(b []byte) (frame, error) {
	var out frame
	err := forEachField(b, func(f field) error {
		switch f.id {
		case fieldSender:
			out.sender = f.number
			return nil
		case fieldCounter:
			out.counter = f.number
			return nil
		case fieldPing, fieldAck, fieldPingRequest, fieldPull, fieldPage, fieldFindings, fieldFlowQuery, fieldFlowReport:
			if out.message != nil {
				return errors.New("two messages in one frame")
			}
			m, err := decodeMessage(f)
			out.message = m
			return err
		default:
			// Fields of later versions are skipped.
			return nil
		}
	})
	switch {
	case err != nil:
		return frame{}, err
	case out.message == nil:
		return frame{}, errors.New("no known message in the frame")
	case out.counter == 0:
		return frame{}, errors.New("no counter in the frame")
	}
	return out, nil
}

// decodeMessage decodes a message by the field of the frame that holds it.
func decodeMessage(f field) (member.Message, error) {
	var h member.Header
	var target model.Balancer
	var name string
	var findings []member.Finding
	var flow member.FlowReport
	limit := member.MaxUpdates
	if f.id == fieldPage {
		limit = member.PageUpdates
	}
	err := forEachField(f.bytes, func(f field) (err error) {
		switch f.id {
		case fieldSeq:
			h.Seq = f.number
		case fieldFrom:
			h.From, err = decodeBalancer(f.bytes)
		case fieldRevision:
			h.Revision = f.number
		case fieldDigest:
			h.Digest = f.number
		case fieldTarget:
			target, err = decodeBalancer(f.bytes)
		case fieldCursor:
			name, err = decodeName(f.bytes)
		case fieldUpdate:
			if len(h.Updates) == limit {
				return errors.Errorf("more than %d updates", limit)
			}
			var u member.Update
			u, err = decodeUpdate(f.bytes)
			h.Updates = append(h.Updates, u)
		case fieldFinding:
			if len(findings) == member.MaxFindings {
				return errors.Errorf("more than %d findings", member.MaxFindings)
			}
			var finding member.Finding
			finding, err = decodeFinding(f.bytes)
			findings = append(findings, finding)
		case fieldFlow:
			flow, err = decodeFlow(f.bytes)
		default:
		}
		return err
	})
	if err == nil {
		err = checkReachable(h.From)
	}
	if err == nil && f.id == fieldPingRequest {
		err = checkReachable(target)
	}
	if err == nil && (f.id == fieldFlowQuery || f.id == fieldFlowReport) {
		err = checkFlow(&flow, f.id == fieldFlowReport)
	}
	if err != nil {
		return nil, err
	}
	switch f.id {
	case fieldPing:
		return &member.Ping{Header: h}, nil
	case fieldAck:
		return &member.Ack{Header: h}, nil
	case fieldPingRequest:
		return &member.PingRequest{Header: h, Target: target}, nil
	case fieldPull:
		return &member.Pull{Header: h, After: name}, nil
	case fieldFindings:
		return &member.Findings{Header: h, List: findings}, nil
	case fieldFlowQuery:
		return &member.FlowQuery{Header: h, Flow: flow.Flow}, nil
	case fieldFlowReport:
		flow.Header = h
		return &flow, nil
	default:
		return &member.Page{Header: h, Next: name}, nil
	}
}

// checkReachable returns an error if a balancer that gets a reply or a ping has no
// name or peer address.
func checkReachable(b model.Balancer) error {
	if b.Name == "" || !b.Peer.IsValid() {
		return errors.Errorf("balancer %q without name or peer address", b.Name)
	}
	return nil
}

func decodeUpdate(b []byte) (member.Update, error) {
	var u member.Update
	err := forEachField(b, func(f field) error {
		if f.id == fieldStatus {
			if f.number > uint64(member.StatusDead) {
				return errors.Errorf("unknown status %d", f.number)
			}
			u.Status = member.Status(f.number)
		}
		return nil
	})
	if err != nil {
		return u, err
	}
	u.Balancer, err = decodeBalancer(b)
	if err == nil && u.Balancer.Name == "" {
		err = errors.New("update without a name")
	}
	return u, err
}

func decodeFinding(b []byte) (member.Finding, error) {
	var out member.Finding
	err := forEachField(b, func(f field) error {
		switch f.id {
		case fieldInstance:
			out.Instance = f.number
		case fieldFailures:
			out.Failures = uint32(min(f.number, math.MaxUint32))
		default:
		}
		return nil
	})
	if err == nil && (out.Instance == 0 || out.Failures == 0) {
		err = errors.New("finding without an instance or without failures")
	}
	return out, err
}

// decodeFlow decodes a flow as a report without its header.
func decodeFlow(b []byte) (member.FlowReport, error) {
	var out member.FlowReport
	err := forEachField(b, func(f field) (err error) {
		switch f.id {
		case fieldFlowClient:
			out.Flow.Client, err = decodeAddr(f.bytes, netip.Addr{})
		case fieldFlowAddress:
			out.Flow.Address, err = decodeAddr(f.bytes, netip.Addr{})
		case fieldFlowStart:
			out.Start = uint32(f.number)
		case fieldFlowOpen:
			out.Open = f.number != 0
		case fieldFlowInstance:
			if len(out.Instances) == member.MaxFlowInstances {
				return errors.Errorf("more than %d instances of a flow", member.MaxFlowInstances)
			}
			out.Instances = append(out.Instances, f.number)
		default:
		}
		return err
	})
	return out, err
}

// checkFlow returns an error if a flow lacks an IPv4 address, or a report the
// instances that it must have.
func checkFlow(m *member.FlowReport, report bool) error {
	switch {
	case !m.Flow.Client.Addr().Is4() || !m.Flow.Address.Addr().Is4():
		return errors.New("flow without two IPv4 addresses")
	case report && (len(m.Instances) == 0 || m.Open && len(m.Instances) != 1):
		return errors.Errorf("report of a flow with %d instances", len(m.Instances))
	}
	return nil
}

func decodeBalancer(b []byte) (model.Balancer, error) {
	var v model.Balancer
	var fetch []byte
	err := forEachField(b, func(f field) (err error) {
		switch f.id {
		case fieldBalancerName:
			v.Name, err = decodeName(f.bytes)
		case fieldDataCentre:
			v.DataCentre, err = decodeName(f.bytes)
		case fieldIncarnation:
			v.Incarnation = f.number
		case fieldPeer:
			v.Peer, err = decodeAddr(f.bytes, netip.Addr{})
		case fieldFetch:
			fetch = f.bytes
		case fieldCapacity:
			v.Capacity = uint32(min(f.number, math.MaxUint32))
		default:
		}
		return err
	})
	if err == nil && fetch != nil {
		v.Fetch, err = decodeAddr(fetch, v.Peer.Addr())
	}
	return v, err
}

func decodeName(b []byte) (string, error) {
	if len(b) > maxNameSize {
		return "", errors.Errorf("name of %d bytes, at most %d are allowed", len(b), maxNameSize)
	}
	return string(b), nil
}

// decodeAddr decodes an address; defaultIP replaces an omitted IP.
func decodeAddr(b []byte, defaultIP netip.Addr) (netip.AddrPort, error) {
	if len(b) < 2 {
		return netip.AddrPort{}, errors.Errorf("invalid address length of %d bytes", len(b))
	}
	ip, ok := defaultIP, defaultIP.IsValid()
	if len(b) > 2 {
		ip, ok = netip.AddrFromSlice(b[:len(b)-2])
	}
	if !ok {
		return netip.AddrPort{}, errors.Errorf("invalid address length of %d bytes", len(b))
	}
	port := b[len(b)-2:]
	return netip.AddrPortFrom(ip.Unmap(), uint16(port[0])<<8|uint16(port[1])), nil
}
