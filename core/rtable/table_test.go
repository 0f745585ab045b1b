package rtable_test

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/core/rtable"
)

func route(name, host, prefix string, services ...core.ServiceName) *rtable.Route {
	r := &rtable.Route{Name: name, Host: host, Prefix: prefix}
	for i, s := range services {
		r.Shares = append(r.Shares, rtable.Share{Service: s, Weight: float64(10 * (i + 1))})
	}
	return r
}

func build(t *testing.T, version int64, routes ...*rtable.Route) *rtable.Table {
	t.Helper()
	table, err := rtable.Build(version, rtable.Limits{}, []*rtable.Service{{Name: "s"}, {Name: "t"}}, routes, nil)
	assert.NilError(t, err)
	return table
}

func TestMatch(t *testing.T) {
	table := build(t, 1, route("all", "a.example", "/", "s"), route("long", "a.example", "/x/y/", "s"),
		route("short", "a.example", "/x/", "s"), route("other", "b.example", "/x/", "s"))
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/y/z", "long"},
		{"a.example", "/x/y/", "long"},
		{"a.example", "/x/y", "short"},
		{"a.example", "/x", "all"},
		{"A.Example:8080", "/x/1", "short"},
		{"b.example", "/x/1", "other"},
		{"b.example", "/y", ""},
		{"c.example", "/x/", ""},
	} {
		t.Run(c.host+c.path, func(t *testing.T) {
			got := ""
			if r := table.Match(c.host, c.path); r != nil {
				got = r.Name
			}
			assert.Equal(t, got, c.want)
		})
	}
}

// Guards against a caller that reaches by one route what only another one is for, since the upstream
// reads the path in another way.
func TestAmbiguous(t *testing.T) {
	table := build(t, 1, route("all", "a.example", "/", "s"), route("x", "a.example", "/x/", "s"),
		route("xy", "a.example", "/x/y/", "s"), route("encoded", "a.example", "/%C3%A9/", "s"), route("alone", "b.example", "/", "s"))
	for _, c := range []struct {
		host, path string
		want       bool
	}{
		{"a.example", "/x/y/", false},
		{"a.example", "/z//x/", false},
		{"a.example", "/%C3%A9/", false},
		{"a.example", "/x/a%2Fy/", false},
		{"a.example", "/x%2F", true},
		{"a.example", "//x/y", true},
		{"a.example", "/%78/", true},
		{"a.example", "/x//y/", true},
		{"A.Example:80", "/x/%79/", true},
		{"a.example", "/%c3%a9/", true},
		{"b.example", "//x/%79", false},
	} {
		t.Run(c.host+c.path, func(t *testing.T) {
			assert.Equal(t, table.Ambiguous(c.host, c.path, table.Match(c.host, c.path)), c.want)
		})
	}
}

func TestShares(t *testing.T) {
	r := route("r", "a", "/", "s", "t") // weights 10 and 20
	for number, want := range map[float64]core.ServiceName{0: "s", 0.33: "s", 0.34: "t", 0.999: "t"} {
		assert.Equal(t, r.Service(number), want, "%v", number)
	}
}

func TestBuildErrors(t *testing.T) {
	_, err := rtable.Build(1, rtable.Limits{}, nil, []*rtable.Route{route("r", "a", "/x", "s")}, nil)
	var bad *rtable.RouteError
	assert.Assert(t, errors.As(err, &bad) && bad.Route == "r")
	_, err = rtable.Build(1, rtable.Limits{}, nil, []*rtable.Route{route("r", "a", "/x/", "s")}, nil)
	var missing *rtable.ServiceError
	assert.Assert(t, errors.As(err, &missing) && missing.Service == "s")
}

// Guards against a table that is replaced by an older one. A peer's copy that was read
// before a change arrived after it, so that a request was served by a new route and the
// next one was refused as unknown.
func TestKeeperNeverGoesBack(t *testing.T) {
	var k rtable.Keeper
	assert.Assert(t, k.Table() == nil)
	assert.Assert(t, k.Offer(build(t, 7)))
	assert.Assert(t, !k.Offer(build(t, 5)))
	assert.Assert(t, !k.Offer(build(t, 7)))
	assert.Equal(t, k.Table().Version, int64(7))
	assert.Assert(t, k.Offer(build(t, 30)))
}

func TestRepeats(t *testing.T) {
	assert.Assert(t, (&rtable.Route{Kind: rtable.Repeatable}).Repeats())
	assert.Assert(t, !(&rtable.Route{Kind: rtable.Once, Resumable: true}).Repeats())
	assert.Assert(t, !(&rtable.Route{Kind: rtable.Stream}).Repeats())
	assert.Assert(t, (&rtable.Route{Kind: rtable.Stream, Resumable: true}).Repeats())
}
