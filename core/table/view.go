package table

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"strings"

	"egretdock/core/model"
)

// Binding joins one customer's parameters with its template and upstreams. It
// is immutable.
type Binding struct {
	Params   model.Params
	Template model.Template
	// Pool is never empty: a customer without upstreams has no binding.
	Pool *Pool
	// ID is the same in all views for one customer and service address; it is
	// never 0.
	ID uint32
}

// Class returns the class that serves a port, with the customer's priority.
func (b *Binding) Class(port uint16) (model.Class, bool) {
	c, ok := b.Template.Class(port)
	if !ok {
		return model.Class{}, false
	}
	if p, set := b.Params.Priority[c.Name]; set {
		c = c.WithPriority(p)
	}
	return c, true
}

// EndpointEntry is what a view holds of an upstream endpoint.
type EndpointEntry struct {
	Upstream model.Upstream
	// Service is the template name.
	Service string
	// Retired is the revision that removed the endpoint, or 0 while it is in
	// use.
	Retired uint64
	// State is shared by all views while the endpoint stays in one service.
	State *Upstream
}

// View is the routing view of one configuration revision. It is immutable,
// except that EndpointEntry.State points to a table entry with its own lock.
type View struct {
	Config    model.Config
	bindings  map[netip.Addr]*Binding
	endpoints map[netip.AddrPort]*EndpointEntry
	ids       map[string]uint32
}

// Binding returns the binding of a service address.
func (v *View) Binding(a netip.Addr) (*Binding, bool) {
	b, ok := v.bindings[a]
	return b, ok
}

// Endpoint returns the entry of an upstream endpoint.
func (v *View) Endpoint(ep netip.AddrPort) (*EndpointEntry, bool) {
	e, ok := v.endpoints[ep]
	return e, ok
}

// Endpoints returns all entries; callers must not modify the map.
func (v *View) Endpoints() map[netip.AddrPort]*EndpointEntry { return v.endpoints }

// WithRemoved returns a copy with the endpoint of an upstream that left a
// service before this balancer started. It returns v when the endpoint is known
// or the view has MaxEndpoints entries.
func (v *View) WithRemoved(ep netip.AddrPort, service string) *View {
	if _, ok := v.endpoints[ep]; ok || len(v.endpoints) >= MaxEndpoints {
		return v
	}
	next := *v
	next.endpoints = maps.Clone(v.endpoints)
	next.endpoints[ep] = &EndpointEntry{
		Upstream: model.Upstream{Name: ep.String(), Endpoint: ep},
		Service:  service, Retired: v.Config.Revision, State: &Upstream{},
	}
	return &next
}

// NextView builds the view of cfg. Pools and upstream states are taken over
// from prev where nothing changed, so that a change rebuilds only the pools
// that it concerns.
func NextView(prev *View, cfg model.Config) *View {
	v := &View{
		Config:    cfg,
		bindings:  make(map[netip.Addr]*Binding, len(prev.bindings)),
		endpoints: make(map[netip.AddrPort]*EndpointEntry, len(prev.endpoints)),
		ids:       make(map[string]uint32, len(prev.ids)),
	}
	b := builder{prev: prev, next: v, pools: make(map[poolKey]*Pool), lastID: uint32(len(prev.ids))}
	for name, id := range prev.ids {
		v.ids[name] = id
	}
	for _, name := range cfg.CustomerNames() {
		b.bind(name)
	}
	b.retire()
	return v
}

type poolKey struct {
	prev  *Pool
	names string
}

type builder struct {
	prev, next *View
	pools      map[poolKey]*Pool
	lastID     uint32
}

func (b *builder) bind(customer string) {
	params, _ := b.next.Config.Params(customer)
	tmpl, ok := b.next.Config.Template(params.Template)
	if !ok || len(params.Upstreams) == 0 {
		return
	}
	bind := &Binding{Params: params, Template: tmpl, ID: b.id(customer + "@" + params.Address.String())}
	bind.Pool = b.pool(customer, params)
	b.next.bindings[params.Address] = bind
	for _, u := range params.Upstreams {
		b.addEndpoint(u, tmpl.Name)
	}
}

func (b *builder) id(key string) uint32 {
	id, ok := b.next.ids[key]
	if !ok {
		b.lastID++
		id = b.lastID
		b.next.ids[key] = id
	}
	return id
}

// pool reuses the customer's previous pool when its upstreams are unchanged.
// Customers with the same history and the same new upstreams share a pool.
func (b *builder) pool(customer string, params model.Params) *Pool {
	old := b.previousPool(customer, params)
	if old != nil && old.equalUpstreams(params.Upstreams) {
		return old
	}
	key := poolKey{prev: old, names: poolSignature(params.Upstreams)}
	if p, ok := b.pools[key]; ok {
		return p
	}
	p := newPool(params.Upstreams)
	if old != nil {
		p = p.withHistory(old)
	}
	b.pools[key] = p
	return p
}

// previousPool returns the pool that served the customer for the same template,
// or nil. A pool of another template must not pass on its history.
func (b *builder) previousPool(customer string, params model.Params) *Pool {
	prevParams, ok := b.prev.Config.Params(customer)
	if !ok || prevParams.Template != params.Template {
		return nil
	}
	bind, ok := b.prev.bindings[prevParams.Address]
	if !ok || bind.Params.Customer != customer {
		return nil
	}
	return bind.Pool
}

func (b *builder) addEndpoint(u model.Upstream, service string) {
	if _, ok := b.next.endpoints[u.Endpoint]; ok {
		return
	}
	e := &EndpointEntry{Upstream: u, Service: service}
	if old, ok := b.prev.endpoints[u.Endpoint]; ok && old.Service == service && old.Upstream.Name == u.Name {
		e.State = old.State
	} else {
		e.State = &Upstream{}
	}
	b.next.endpoints[u.Endpoint] = e
}

// MaxRetired bounds the endpoints that are remembered after they left the
// configuration.
const MaxRetired = 8192

// MaxEndpoints bounds all endpoints of a view. The target size is 7,100
// upstreams.
const MaxEndpoints = 4 * MaxRetired

// retire keeps the entries of upstreams that were removed, so that established
// flows still reach them. An endpoint that another service uses now is not
// kept. Beyond MaxRetired, those removed first are discarded.
func (b *builder) retire() {
	var retired []*EndpointEntry
	for ep, old := range b.prev.endpoints {
		if _, ok := b.next.endpoints[ep]; !ok {
			e := *old
			if e.Retired == 0 {
				e.Retired = b.next.Config.Revision
			}
			retired = append(retired, &e)
		}
	}
	if len(retired) > MaxRetired {
		slices.SortFunc(retired, func(x, y *EndpointEntry) int { return cmp.Compare(y.Retired, x.Retired) })
		retired = retired[:MaxRetired]
	}
	for _, e := range retired {
		b.next.endpoints[e.Upstream.Endpoint] = e
	}
}

func poolSignature(us []model.Upstream) string {
	var sb strings.Builder
	for _, u := range us {
		sb.WriteString(u.Name)
		sb.WriteByte('=')
		sb.WriteString(u.Endpoint.String())
		sb.WriteByte(' ')
	}
	return sb.String()
}
