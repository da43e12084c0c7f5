package logs

import (
	"io"
	"net/netip"
	"testing"
	"time"

	"egretdock/core/effect"
)

// BenchmarkLoggerWrite measures one event about a request with most fields set.
func BenchmarkLoggerWrite(b *testing.B) {
	a := NewAsyncWriter(io.Discard)
	defer a.Close(time.Second)
	SetOutput(a)
	l := NewLogger(Options{Process: "front-casa-ain-1", DataCentre: "casa-ain"})
	e := effect.Event{
		Name: "flow_placed", Client: netip.MustParseAddrPort("100.64.0.7:40001"), Address: netip.MustParseAddrPort("198.18.0.1:443"),
		Upstream: "i-7f3a91c2", Service: "order-desk", Revision: 22, Age: 937 * time.Millisecond, ListRevision: 23, ListAge: time.Second,
		Load: 284, Candidates: 4, Detail: "local",
	}
	b.ReportAllocs()
	for b.Loop() {
		l.Write(e)
	}
}
