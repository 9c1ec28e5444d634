package catalog

import (
	"slices"
	"sort"
	"strings"
)

// View is one version of the configuration. It is immutable once published.
type View struct {
	Version  int64
	Limits   Limits
	routes   map[string][]*Route
	services map[string]*Service
	accounts map[string]*Account
	keys     map[string]*Account
	// hasAccounts reports whether the configuration defines any client accounts.
	hasAccounts bool
	// regionNames are the regions that routes and accounts name.
	regionNames []string
	// resumable names the services whose streams may be continued at another upstream.
	resumable []string
}

// NewView indexes a configuration. keys maps each API key to an account's name.
func NewView(version int64, limits Limits, routes []*Route, services []*Service, accounts []*Account, keys map[string]string) *View {
	v := &View{
		Version:     version,
		Limits:      limits,
		routes:      make(map[string][]*Route),
		services:    make(map[string]*Service, len(services)),
		accounts:    make(map[string]*Account, len(accounts)),
		keys:        make(map[string]*Account, len(keys)),
		hasAccounts: len(accounts) > 0,
	}
	for _, r := range routes {
		v.routes[r.Host] = append(v.routes[r.Host], r)
		v.addResumable(r)
		v.regionNames = append(v.regionNames, r.Regions.Names()...)
	}
	for _, list := range v.routes {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].PathPrefix) > len(list[j].PathPrefix) })
	}
	for _, s := range services {
		v.services[s.Name] = s
	}
	for _, a := range accounts {
		v.accounts[a.Name] = a
		v.regionNames = append(v.regionNames, a.Regions.Names()...)
	}
	slices.Sort(v.regionNames)
	v.regionNames = slices.Compact(v.regionNames)
	for key, name := range keys {
		if a, ok := v.accounts[name]; ok {
			v.keys[key] = a
		}
	}
	return v
}

func (v *View) addResumable(r *Route) {
	if r.Kind != Streaming || !r.Resumable {
		return
	}
	for _, s := range r.Split {
		if !slices.Contains(v.resumable, s.Service) {
			v.resumable = append(v.resumable, s.Service)
		}
	}
}

// ResumableServices returns the names of the services whose streams may be continued at another upstream.
func (v *View) ResumableServices() []string { return v.resumable }

// RegionNames returns the regions that routes and client accounts name.
func (v *View) RegionNames() []string { return v.regionNames }

// Match returns the host's route with the longest matching path prefix, or nil.
func (v *View) Match(host, path string) *Route {
	for _, r := range v.routes[host] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// Service returns a service by name, or nil.
func (v *View) Service(name string) *Service { return v.services[name] }

// Services calls f for each service.
func (v *View) Services(f func(*Service)) {
	for _, s := range v.services {
		f(s)
	}
}

// Accounts calls f for each client account.
func (v *View) Accounts(f func(*Account)) {
	for _, a := range v.accounts {
		f(a)
	}
}

// Account returns a client account by name, or nil.
func (v *View) Account(name string) *Account { return v.accounts[name] }

// RequiresKey reports whether requests of a route must carry the key of a client account.
func (v *View) RequiresKey(r *Route) bool { return v.hasAccounts && !r.Anonymous }

// Authenticate returns the account that owns a key, or nil.
func (v *View) Authenticate(key string) *Account { return v.keys[key] }
