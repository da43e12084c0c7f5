package admin

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-kratos/kratos/v2/transport"
	"github.com/rcrowley/go-metrics"

	"egretdock/core/fault"
	"egretdock/io/logs"
)

const (
	// maxTickAge is the age of the last tick above which the process counts as
	// stuck: 60 missed ticks, and the time after which other balancers have
	// removed it from membership.
	maxTickAge = 3 * time.Second
	// readTimeout and writeTimeout bound the time for which a slow client can
	// hold a connection.
	readTimeout    = 5 * time.Second
	writeTimeout   = 30 * time.Second
	maxHeaderBytes = 16 << 10
)

// Options are the settings of a Server; all but Now are required.
type Options struct {
	// Address is the IP address and port to listen on. It can't be a wildcard,
	// so that the pages are not served on the addresses of customers; port 0
	// selects a free port.
	Address  netip.AddrPort
	State    State
	Registry metrics.Registry
	Events   *logs.Ring
	// Now is the physical clock; nil selects time.Now.
	Now func() time.Time
}

// Server serves the admin pages. It is a kratos server: Start returns when Stop
// is called.
type Server struct {
	opts Options
	http *http.Server
	lis  net.Listener
}

var _ transport.Server = (*Server)(nil)

// NewServer opens the listening socket, so that an address that cannot be used
// fails before the process takes traffic.
func NewServer(o Options) (*Server, error) {
	if !o.Address.IsValid() || o.Address.Addr().IsUnspecified() {
		return nil, fault.New(fault.KindInvalid,
			"admin address "+o.Address.String()+" would serve on every interface, those of customers included",
			"set it to one address of the management network, or to a loopback address")
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	lis, err := net.Listen("tcp", o.Address.String())
	if err != nil {
		return nil, fault.Wrap(err, fault.KindUnavailable, "cannot listen on the admin address", "set a free port on an address of this host")
	}
	s := &Server{opts: o, lis: lis}
	s.http = &http.Server{
		Handler:           s.handler(),
		ReadHeaderTimeout: readTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	return s, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() netip.AddrPort {
	return s.lis.Addr().(*net.TCPAddr).AddrPort()
}

// Start serves until Stop is called.
func (s *Server) Start(context.Context) error {
	if err := s.http.Serve(s.lis); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Stop closes the listener and waits for open requests until ctx ends; then it
// closes them. It also releases the address of a server that was never started.
func (s *Server) Stop(ctx context.Context) error {
	err := s.http.Shutdown(ctx)
	if err != nil {
		err = errors.Join(err, s.http.Close())
	}
	if cerr := s.lis.Close(); !errors.Is(cerr, net.ErrClosed) {
		err = errors.Join(err, cerr)
	}
	return err
}
