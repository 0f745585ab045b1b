package config

import (
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"

	"radishwell/core"
	"radishwell/core/catlog"
	"radishwell/core/strict"
)

const maxNameLen = 63

// checker checks the keys of one file against each other.
type checker struct {
	doc      *strict.Document
	s        Settings
	problems strict.Problems
}

func (c *checker) fail(key, reason string) {
	c.problems = append(c.problems, c.doc.Problem(key, reason))
}

func (c *checker) check() {
	c.names()
	c.roles()
	c.listen()
	c.peers()
	c.platform()
	c.engine()
	c.tls()
	c.managed()
}

// managed checks the keys that the role requires on a managed platform.
func (c *checker) managed() {
	if !c.s.Managed.Enabled {
		return
	}
	needed := "managed.readiness"
	if c.s.Role == Agent {
		needed = "managed.upstream"
	}
	if !c.doc.Has(needed) {
		c.fail(needed, "is missing; the role "+string(c.s.Role)+" needs it on a managed platform")
	}
}

func (c *checker) names() {
	c.name("name", string(c.s.Name))
	c.name("data-centre", string(c.s.DataCentre))
	c.name("region", string(c.s.Region))
	c.name("engine.service", string(c.s.Engine.Service))
}

func (c *checker) name(key, name string) {
	if c.doc.Has(key) && !goodName(name) {
		c.fail(key, "has to have 1 to 63 lower-case letters, digits, '-', '.' or '_'")
	}
}

func goodName(name string) bool {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789-._"
	return name != "" && len(name) <= maxNameLen && strings.Trim(name, letters) == ""
}

// roleKeys lists the keys that belong to one role only, and whether it requires them.
var roleKeys = []struct {
	role     Role
	key      string
	required bool
}{
	{Entry, "listen.callers", true},
	{Entry, "tls.callers", false},
	{Entry, "limits.max-body", false},
	{Entry, "limits.deadlines", false},
	{Agent, "listen.work", true},
	{Agent, "engine", true},
	{Agent, "engine.address", true},
	{Agent, "engine.service", true},
	{Agent, "limits.kept-answers", false},
	{Entry, "managed.readiness", false},
	{Entry, "managed.agent-port", false},
	{Agent, "managed.upstream", false},
}

// unmanagedKeys lists required keys that are optional on a managed platform, where they
// have no use.
var unmanagedKeys = []string{"listen.work", "engine", "engine.address", "engine.service"}

func (c *checker) roles() {
	if c.s.Role == "" {
		return
	}
	for _, k := range roleKeys {
		has := c.doc.Has(k.key)
		if has && k.role != c.s.Role {
			c.fail(k.key, "belongs to the role "+string(k.role))
		}
		if c.s.Managed.Enabled && slices.Contains(unmanagedKeys, k.key) {
			continue
		}
		if !has && k.required && k.role == c.s.Role {
			c.fail(k.key, "is missing; the role "+string(k.role)+" needs it")
		}
	}
}

// address is a listen address.
type address struct {
	// key is the key of the address or, within a fleet, its settings file.
	key  string
	addr netip.AddrPort
}

func (s *Settings) addresses() []address {
	all := []address{
		{"listen.callers", s.Listen.Callers},
		{"listen.work", s.Listen.Work},
		{"listen.control", s.Listen.Control},
		{"listen.operators", s.Listen.Operators},
	}
	return slices.DeleteFunc(all, func(a address) bool { return !a.addr.IsValid() })
}

func (c *checker) listen() {
	all := c.s.addresses()
	for i, a := range all {
		c.port(a.key, a.addr)
		for _, b := range all[:i] {
			if conflicting(a.addr, b.addr) {
				c.fail(a.key, "has the address of "+b.key)
			}
		}
	}
}

func (c *checker) port(key string, a netip.AddrPort) {
	if a.Port() == 0 {
		c.fail(key, "needs a port, since other processes and operators have to know it")
	}
}

// conflicting reports whether two listeners on one host cannot both be opened.
func conflicting(a, b netip.AddrPort) bool {
	if a.Port() != b.Port() {
		return false
	}
	return a.Addr() == b.Addr() || a.Addr().IsUnspecified() || b.Addr().IsUnspecified()
}

func (c *checker) peers() {
	for i, a := range c.s.Peers {
		key := "peers[" + strconv.Itoa(i) + "]"
		c.port(key, a)
		if a.IsValid() && a.Addr().IsUnspecified() {
			c.fail(key, "has to be the address of one host")
		}
		if a.IsValid() && slices.Contains(c.s.Peers[:i], a) {
			c.fail(key, "is listed twice")
		}
	}
}

func (c *checker) platform() {
	p := c.s.Platform
	if c.doc.Has("platform.urls") && len(p.URLs) == 0 {
		c.fail("platform.urls", "needs an address at least")
	}
	for i, u := range p.URLs {
		key := "platform.urls[" + strconv.Itoa(i) + "]"
		if u.TLS && p.CA == "" {
			c.fail(key, "https needs platform.ca")
		}
		if u.IsSet() && slices.Contains(p.URLs[:i], u) {
			c.fail(key, "is listed twice")
		}
	}
}

func (c *checker) engine() {
	switch c.s.Engine.Type {
	case core.EngineService, core.PlainService:
	default:
		c.fail("engine.type", "has to be engine or plain")
	}
}

func (c *checker) tls() {
	c.together("tls", map[string]string{"ca": c.s.TLS.CA, "cert": c.s.TLS.Cert, "key": c.s.TLS.Key})
	c.together("tls.callers", map[string]string{"cert": c.s.TLS.Callers.Cert, "key": c.s.TLS.Callers.Key})
	if c.s.TLS.Enabled() || c.s.Managed.Enabled && c.s.Managed.PlainPeers {
		return
	}
	// Without mutual TLS, anyone who reaches the port may order loads and send requests
	// on behalf of any owner. Only processes on the same host are trusted that far.
	for _, key := range c.exposed() {
		c.fail(key, "is not on the loopback, so that tls.ca, tls.cert and tls.key are needed")
	}
}

// exposed lists the keys of addresses between own processes that are not on the
// loopback.
func (c *checker) exposed() []string {
	var keys []string
	for _, a := range c.s.addresses() {
		if (a.key == "listen.work" || a.key == "listen.control") && !a.addr.Addr().IsLoopback() {
			keys = append(keys, a.key)
		}
	}
	for i, p := range c.s.Peers {
		if p.IsValid() && !p.Addr().IsLoopback() {
			keys = append(keys, "peers["+strconv.Itoa(i)+"]")
		}
	}
	return keys
}

// together reports the missing files of a group of which either all or none must be
// set.
func (c *checker) together(at string, files map[string]string) {
	var missing []string
	for key, file := range files {
		if file == "" {
			missing = append(missing, key)
		}
	}
	if len(missing) == 0 || len(missing) == len(files) {
		return
	}
	slices.Sort(missing)
	for _, key := range missing {
		c.fail(at+"."+key, "is missing beside the other files of "+at)
	}
}

// Enabled reports whether own processes communicate over mutual TLS.
func (t TLS) Enabled() bool { return t.CA != "" && t.Cert != "" && t.Key != "" }

// Check reads settings and catalogue files and returns all of their problems, sorted by
// file and position. Catalogue files are checked as one catalogue, settings files as
// one fleet, in which neither names nor addresses of hosts may occur twice.
func Check(files ...string) strict.Problems {
	var problems strict.Problems
	var sources []catlog.Source
	var fleet fleet
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			problems = append(problems, strict.Problem{File: file, Reason: err.Error()})
			continue
		}
		switch kind, found := detectKind(file, text); kind {
		case catalogueFile:
			sources = append(sources, catlog.Source{Name: file, Text: text})
		case settingsFile:
			problems = append(problems, fleet.add(file, text)...)
		default:
			problems = append(problems, found...)
		}
	}
	_, found := catlog.Read(sources...)
	problems = append(problems, found...)
	problems.Sort()
	return problems
}

type fileKind int

const (
	unknownFile fileKind = iota
	settingsFile
	catalogueFile
)

// detectKind determines the kind of a file from the keys of its documents. If the kind
// is unknown, it returns the reason as problems.
func detectKind(file string, text []byte) (fileKind, strict.Problems) {
	docs, problems := strict.Parse(file, text)
	for _, doc := range docs {
		for _, key := range doc.Keys() {
			switch key {
			case "kind", "spec":
				return catalogueFile, nil
			case "role", "listen", "platform", "data-centre":
				return settingsFile, nil
			}
		}
	}
	if len(problems) == 0 {
		problems = strict.Problems{{File: file, Reason: "neither settings (role, listen, ...) nor catalogue entries (kind, name, spec)"}}
	}
	return unknownFile, problems
}

// fleet checks settings files against each other.
type fleet struct {
	// names maps the names of hosts to their files.
	names map[core.HostName]string
	// addresses are the listen addresses of all hosts, with the file as key.
	addresses []address
}

// add checks a settings file alone and against those added before.
func (f *fleet) add(file string, text []byte) strict.Problems {
	docs, problems := strict.Parse(file, text)
	if len(problems) > 0 || len(docs) != 1 {
		_, problems = Parse(file, text)
		return problems
	}
	s, problems := decode(docs[0])
	if f.names == nil {
		f.names = map[core.HostName]string{}
	}
	if other, ok := f.names[s.Name]; ok && s.Name != "" {
		problems = append(problems, docs[0].Problem("name", "is the name of the host in "+other+" too"))
	}
	f.names[s.Name] = file
	for _, a := range s.addresses() {
		// Every host has its own loopback, and unspecified addresses are on each host.
		if a.addr.Addr().IsUnspecified() || a.addr.Addr().IsLoopback() {
			continue
		}
		i := slices.IndexFunc(f.addresses, func(b address) bool { return a.addr == b.addr })
		if i >= 0 {
			problems = append(problems, docs[0].Problem(a.key, "is an address in "+f.addresses[i].key+" too"))
			continue
		}
		f.addresses = append(f.addresses, address{file, a.addr})
	}
	return problems
}
