package route

import (
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"
)

func config() Config {
	share := []Share{{Service: "desk", Weight: 1}}
	return Config{
		Version: 7,
		Routes: []Route{
			{Name: "all", Host: "a.example", Prefix: "/", Kind: AtMostOnce, Shares: share},
			{Name: "deep", Host: "a.example", Prefix: "/x/y/", Kind: Stream, Shares: share},
			{Name: "near", Host: "A.example", Prefix: "/x/", Kind: Idempotent, Shares: share},
		},
		Services:      []Service{{Name: "desk", Slots: 4}},
		Organisations: []Organisation{{Name: "org-1", Keys: []string{"k1", "k2"}}, {Name: "org-2", Keys: []string{"k3"}}},
	}
}

func TestLongestPrefixOfTheHostWins(t *testing.T) {
	c := qt.New(t)
	table, err := Compile(config())
	c.Assert(err, qt.IsNil)
	for path, want := range map[string]string{"/x/y/z": "deep", "/x/z": "near", "/x": "all", "/x/y": "near", "/": "all"} {
		found, ok := table.Match("a.EXAMPLE", path)
		c.Assert(ok, qt.IsTrue, qt.Commentf(path))
		c.Check(found.Name, qt.Equals, want, qt.Commentf(path))
	}
	_, ok := table.Match("b.example", "/x/")
	c.Check(ok, qt.IsFalse)
}

func TestAuthenticateFindsTheOrganisationOfAKey(t *testing.T) {
	c := qt.New(t)
	table, err := Compile(config())
	c.Assert(err, qt.IsNil)
	org, ok := table.Authenticate("k2")
	c.Assert(ok, qt.IsTrue)
	c.Check(org.Name, qt.Equals, "org-1")
	for _, key := range []string{"", "k", "k22"} {
		_, ok := table.Authenticate(key)
		c.Check(ok, qt.IsFalse, qt.Commentf("%q", key))
	}
}

func TestFieldErrorHasThePathOfTheField(t *testing.T) {
	c := qt.New(t)
	wrong := map[string]func(*Config){
		"routes[1].prefix": func(c *Config) { c.Routes[1].Prefix = "/x" },
		"routes[0].kind":   func(c *Config) { c.Routes[0].Kind = 0 },
		"routes[2].shares": func(c *Config) { c.Routes[2].Shares = nil },
	}
	for path, spoil := range wrong {
		bad := config()
		spoil(&bad)
		_, err := Compile(bad)
		var field *FieldError
		c.Assert(errors.As(err, &field), qt.IsTrue, qt.Commentf(path))
		c.Check(field.Path, qt.Equals, path)
	}
}

func TestSharesDivideByWeight(t *testing.T) {
	c := qt.New(t)
	r := Route{Shares: []Share{{"a", 90}, {"none", 0}, {"b", 10}}}
	counts := map[string]int{}
	for i := range 1000 {
		counts[r.PickService(float64(i)/1000)]++
	}
	c.Check(counts, qt.DeepEquals, map[string]int{"a": 900, "b": 100})
	weightless := Route{Shares: []Share{{"a", 0}, {"b", 0}}}
	c.Check(weightless.PickService(0.9), qt.Equals, "a")
}

func TestOnlyIdempotentAndResumableRequestsAreRepeatable(t *testing.T) {
	c := qt.New(t)
	c.Check((&Route{Kind: Idempotent}).Repeatable(), qt.IsTrue)
	c.Check((&Route{Kind: AtMostOnce}).Repeatable(), qt.IsFalse)
	c.Check((&Route{Kind: Stream}).Repeatable(), qt.IsFalse)
	c.Check((&Route{Kind: Stream, Resumable: true}).Repeatable(), qt.IsTrue)
	c.Check((&Route{Kind: AtMostOnce, Resumable: true}).Repeatable(), qt.IsFalse)
}

// TestKeysAreNeededAsLongAsThereAreOrganisations guards against requests without a valid key that run
// because the last key of all organisations was taken away.
func TestKeysAreNeededAsLongAsThereAreOrganisations(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		organisations []Organisation
		needed        bool
	}{
		{nil, false},
		{[]Organisation{{Name: "a", Keys: []string{"k"}}}, true},
		{[]Organisation{{Name: "a", Keys: []string{"k"}}, {Name: "b"}}, true},
		{[]Organisation{{Name: "a"}, {Name: "b", Keys: []string{}}}, true},
	} {
		table, err := Compile(Config{Organisations: test.organisations})
		c.Assert(err, qt.IsNil)
		c.Check(table.NeedsKeys(), qt.Equals, test.needed, qt.Commentf("%+v", test.organisations))
	}
}

// TestNoKeyIsNoKeyOfAnOrganisation guards against an empty key in the list of an organisation that
// lets in requests without any.
func TestNoKeyIsNoKeyOfAnOrganisation(t *testing.T) {
	c := qt.New(t)
	table, err := Compile(Config{Organisations: []Organisation{{Name: "a", Keys: []string{"", "k"}}}})
	c.Assert(err, qt.IsNil)
	_, ok := table.Authenticate("")
	c.Check(ok, qt.IsFalse)
	org, ok := table.Authenticate("k")
	c.Check(ok, qt.IsTrue)
	c.Check(org.Name, qt.Equals, "a")
}
