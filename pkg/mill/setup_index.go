package mill

import (
	"cmp"
	"slices"
	"strings"
)

// SetupIndex finds the parts of a setup without going through all of them. Its zero value is that of an empty setup.
type SetupIndex struct {
	// routes holds the queues of each host, those with the longest prefix first.
	routes map[string][]*Queue
	// byKey holds the queues by what selects them, queues the first one of each name, and shared the names of several.
	byKey    map[RouteKey]*Queue
	queues   map[string]*Queue
	shared   map[string]bool
	services map[string]*Service
	tenants  map[string]*Tenant
	keys     map[KeyDigest]*Tenant
}

// NewSetupIndex returns the index of a setup, which must not change any more.
func NewSetupIndex(setup *Setup) *SetupIndex {
	x := &SetupIndex{
		routes:   make(map[string][]*Queue),
		byKey:    make(map[RouteKey]*Queue, len(setup.Queues)),
		queues:   make(map[string]*Queue, len(setup.Queues)),
		shared:   make(map[string]bool),
		services: make(map[string]*Service, len(setup.Services)),
		tenants:  make(map[string]*Tenant, len(setup.Tenants)),
		keys:     make(map[KeyDigest]*Tenant),
	}

	for i := range setup.Queues {
		q := &setup.Queues[i]
		x.routes[q.Host] = append(x.routes[q.Host], q)
		addFirst(x.byKey, q.Key(), q)

		if _, ok := x.queues[q.Name]; ok {
			x.shared[q.Name] = true
		}

		addFirst(x.queues, q.Name, q)
	}

	for _, queues := range x.routes {
		slices.SortStableFunc(queues, func(a, b *Queue) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}

	for i := range setup.Services {
		addFirst(x.services, setup.Services[i].Name, &setup.Services[i])
	}

	for i := range setup.Tenants {
		tenant := &setup.Tenants[i]
		addFirst(x.tenants, tenant.Name, tenant)

		for _, key := range tenant.Keys {
			if key != "" {
				addFirst(x.keys, key.Digest(), tenant)
			}
		}
	}

	return x
}

// addFirst adds a value unless the map has the key.
func addFirst[K comparable, V any](values map[K]V, key K, value V) {
	if _, ok := values[key]; !ok {
		values[key] = value
	}
}

// Find returns the queue of a request and the rest of the path after the queue's prefix.
func (x *SetupIndex) Find(host, path string) (*Queue, string, bool) {
	for _, q := range x.routes[host] {
		if rest, ok := strings.CutPrefix(path, q.Prefix); ok {
			return q, rest, true
		}
	}

	return nil, "", false
}

// Route returns the queue with that host and prefix.
func (x *SetupIndex) Route(key RouteKey) (*Queue, bool) {
	q, ok := x.byKey[key]

	return q, ok
}

// SharesName reports whether several queues have that name.
func (x *SetupIndex) SharesName(name string) bool {
	return x.shared[name]
}

// HasSharedNames reports whether any two queues share a name.
func (x *SetupIndex) HasSharedNames() bool {
	return len(x.shared) > 0
}

// Queue returns the first queue with that name.
func (x *SetupIndex) Queue(name string) (*Queue, bool) {
	q, ok := x.queues[name]

	return q, ok
}

// Service returns the service with that name.
func (x *SetupIndex) Service(name string) (*Service, bool) {
	service, ok := x.services[name]

	return service, ok
}

// Tenant returns the tenant with that name.
func (x *SetupIndex) Tenant(name string) (*Tenant, bool) {
	tenant, ok := x.tenants[name]

	return tenant, ok
}

// HasTenants reports whether the setup has any tenant.
func (x *SetupIndex) HasTenants() bool {
	return len(x.tenants) > 0
}

// TenantOf returns the tenant that holds a key.
func (x *SetupIndex) TenantOf(key APIKey) (*Tenant, bool) {
	tenant, ok := x.keys[key.Digest()]

	return tenant, ok
}
