package quarantine

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

func hashOf(organisation, method, host, target string, pieces ...[]byte) Hash {
	h := NewHasher(organisation, method, host, target)
	for _, p := range pieces {
		_, _ = h.Write(p)
	}
	return h.Sum()
}

func TestHashDependsOnWholeRequestOnly(t *testing.T) {
	c := qt.New(t)
	first := hashOf("org-1", "POST", "a.example", "/x/1?q=2", []byte("body"))
	c.Check(hashOf("org-1", "POST", "a.example", "/x/1?q=2", []byte("bo"), []byte("dy")), qt.Equals, first)
	for _, other := range []Hash{
		hashOf("org-2", "POST", "a.example", "/x/1?q=2", []byte("body")),
		hashOf("org-1", "PUT", "a.example", "/x/1?q=2", []byte("body")),
		hashOf("org-1", "POST", "b.example", "/x/1?q=2", []byte("body")),
		hashOf("org-1", "POST", "a.example", "/x/1?q=3", []byte("body")),
		hashOf("org-1", "POST", "a.example", "/x/1?q=2", []byte("bodi")),
		hashOf("org-1", "POST", "a.example", "/x/1?q=2"),
		hashOf("org-1P", "OST", "a.example", "/x/1?q=2", []byte("body")),
	} {
		c.Check(other, qt.Not(qt.Equals), first)
	}
}

func TestHashRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h Hash
		copy(h[:], rapid.SliceOfN(rapid.Byte(), len(h), len(h)).Draw(t, "hash"))
		read, ok := ParseHash(h.String())
		if !ok || read != h {
			t.Fatalf("%s read as %s, %v", h, read, ok)
		}
		text := rapid.String().Draw(t, "text")
		if read, ok := ParseHash(text); ok && read.String() != text {
			t.Fatalf("%q read as %s", text, read)
		}
	})
}

// BenchmarkHash measures the time that hashing adds to a request with a long prompt.
func BenchmarkHash(b *testing.B) {
	body := make([]byte, 48<<10)
	b.SetBytes(int64(len(body)))
	for b.Loop() {
		hashOf("org-1", "POST", "a.example", "/x/1", body)
	}
}

// BenchmarkSharedKeys measures the keys of a prompt of three parts, the last of which has none.
func BenchmarkSharedKeys(b *testing.B) {
	for b.Loop() {
		SharedKeys("llm", "organisation", []string{"5c1e07a2", "91bd3f06"})
	}
}

// BenchmarkHeld measures the check before each send while some requests are held.
func BenchmarkHeld(b *testing.B) {
	held := make(map[Hash]Record)
	for i := range 100 {
		held[Hash{byte(i), 1}] = Record{Verdict: Verdict{Hash: Hash{byte(i), 1}}}
	}
	q := &Quarantine{}
	q.held.Store(&held)
	content := Content{Request: Hash{9}, Shared: SharedKeys("llm", "organisation", []string{"5c1e07a2", "91bd3f06"})}
	for b.Loop() {
		q.Held(content)
	}
}
