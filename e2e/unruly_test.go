package e2e

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bronzeturn/bronzeturn/callerapi"
	"github.com/bronzeturn/bronzeturn/demo"
	"github.com/bronzeturn/bronzeturn/platform/emulator"
)

// Limits of the daemon under test, in the terms of its settings and its configuration.
const (
	unrulyMemoryMB  = 96
	unrulyMaxFDs    = 600
	reservedFDs     = 200
	unrulyBodyBytes = 1 << 20
)

// unrulyTarget is a daemon with its listeners, and an ordinary request to it.
type unrulyTarget struct {
	c *qt.C
	*process
	// callers is the address for requests, others the addresses of the other listeners.
	callers string
	others  []string
	// head is the start of a request whose body follows, without the empty line at its end,
	// unknown that of a request to a path that does not exist.
	head, unknown string
	// answered reports whether an ordinary request is answered now, largest whether one with the
	// largest body is taken.
	answered, largest func() bool
}

// startUnrulyEntry starts an entry daemon with low limits.
func startUnrulyEntry(t *testing.T) *unrulyTarget {
	u, _ := startUnrulyFleet(t, 2)
	return u
}

// startUnrulyFleet starts an entry daemon with low limits, before engines of the service desk and one
// of the service llm.
func startUnrulyFleet(t *testing.T, desk int) (*unrulyTarget, *entryFleet) {
	bounds := defaultBounds
	bounds.MemoryMB, bounds.MaxFDs = unrulyMemoryMB, unrulyMaxFDs
	f := newEntryFleet(t, 0, desk, 1, bounds)
	config := emulator.Config(2)
	config.Limits = fmt.Appendf(nil, `{"headerBytes":16384,"bodyBytes":%d,"headerMs":3000,"idleMs":5000}`, unrulyBodyBytes)
	_, err := f.store.Put("config", "main", config)
	f.c.Assert(err, qt.IsNil)
	f.addDaemons(1)
	d := f.daemons[0]
	fields := "Host: " + emulator.Host + "\r\nRequest-Id: unruly\r\nAuthorization: Bearer " + emulator.Key + "\r\n" + emulator.TokensHeader + ": 100,100\r\n"
	return &unrulyTarget{
		c: f.c, process: f.running[0], callers: d.Front, others: []string{d.Ready, d.Directory, d.Control},
		head: "POST /stream/x HTTP/1.1\r\n" + fields, unknown: "POST /unknown/x HTTP/1.1\r\n" + fields,
		answered: func() bool { return f.send(0, http.MethodGet, "/safe/x").status == http.StatusOK },
		largest: func() bool {
			return f.sendBody(0, http.MethodPost, "/once/x", strings.Repeat("b", unrulyBodyBytes)).status == http.StatusOK
		},
	}, f
}

// setLowLimits sets the limits of the daemons of the chat API that the test starts.
func setLowLimits(c *qt.C) {
	c.Setenv("BRONZETURN_MEMORY_BYTES", strconv.Itoa(unrulyMemoryMB<<20))
	c.Setenv("BRONZETURN_MAX_DESCRIPTORS", strconv.Itoa(unrulyMaxFDs))
	c.Setenv("BRONZETURN_MAX_BODY_BYTES", strconv.Itoa(unrulyBodyBytes))
}

// startUnrulyChat starts a daemon of the chat API with low limits.
func startUnrulyChat(t *testing.T) *unrulyTarget {
	c := qt.New(t)
	setLowLimits(c)
	d := deploy(c, 1, 2)
	daemon := d.daemons[0]
	chat := demo.Chat{Key: key, Prompt: "ordinary"}
	fields := "Host: chat\r\nAuthorization: Bearer " + key + "\r\n"
	return &unrulyTarget{
		c: c, process: daemon.process, callers: daemon.callers, others: []string{daemon.admin, daemon.operators, daemon.peers},
		head: "POST /v1/chat/completions HTTP/1.1\r\n" + fields, unknown: "POST /v1/unknown HTTP/1.1\r\n" + fields,
		answered: func() bool { return send(chat, daemon.callers).Check(chat) == nil },
		largest: func() bool {
			// An engine needs minutes for a prompt of this size, so the body is none: it is refused for
			// its content once it has been read.
			body := strings.NewReader(strings.Repeat("b", unrulyBodyBytes))
			req, err := http.NewRequest(http.MethodPost, "http://"+daemon.callers+callerapi.PathChatCompletions, body)
			c.Assert(err, qt.IsNil)
			req.Header.Set("Authorization", "Bearer "+key)
			resp, err := http.DefaultClient.Do(req)
			c.Assert(err, qt.IsNil)
			_ = resp.Body.Close()
			return resp.StatusCode == http.StatusBadRequest
		},
	}
}

// usage is what a process holds of its host.
type usage struct {
	// memory is the resident memory and the bytes that the kernel keeps unread for the
	// process's listeners, in bytes, sockets the number of its sockets and pipes.
	memory, sockets int
	// unread is the part of memory that the kernel keeps.
	unread int
}

// usageNow returns the present usage of the daemon.
func (u *unrulyTarget) usageNow() usage {
	pid := strconv.Itoa(u.cmd.Process.Pid)
	unread := u.unreadBytes()
	return usage{memory: statusBytes(pid, "VmRSS:") + unread, sockets: countSockets(pid), unread: unread}
}

// statusBytes returns a size in the status file of a process, 0 if the process has ended.
func statusBytes(pid, field string) int {
	status, _ := os.ReadFile(filepath.Join("/proc", pid, "status"))
	for line := range strings.Lines(string(status)) {
		if value, ok := strings.CutPrefix(line, field); ok {
			kilobytes, _ := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(value), " kB"))
			return kilobytes << 10
		}
	}
	return 0
}

// countSockets returns the number of descriptors of a process that are sockets or pipes.
func countSockets(pid string) (n int) {
	folder := filepath.Join("/proc", pid, "fd")
	entries, _ := os.ReadDir(folder)
	for _, e := range entries {
		target, _ := os.Readlink(filepath.Join(folder, e.Name()))
		if strings.HasPrefix(target, "socket:") || strings.HasPrefix(target, "pipe:") {
			n++
		}
	}
	return n
}

// unreadBytes returns the bytes that the kernel has received for the daemon's listeners and that
// the daemon has not read.
func (u *unrulyTarget) unreadBytes() (sum int) {
	table, _ := os.ReadFile("/proc/net/tcp")
	ports := make(map[string]bool)
	for _, address := range append([]string{u.callers}, u.others...) {
		_, port, _ := net.SplitHostPort(address)
		number, _ := strconv.Atoi(port)
		ports[fmt.Sprintf("%04X", number)] = true
	}
	const localField, stateField, queueField, established, closeWait = 1, 3, 4, "01", "08"
	for line := range strings.Lines(string(table)) {
		fields := strings.Fields(line)
		if len(fields) <= queueField || fields[stateField] != established && fields[stateField] != closeWait {
			continue
		}
		_, port, _ := strings.Cut(fields[localField], ":")
		_, queue, _ := strings.Cut(fields[queueField], ":")
		if unread, err := strconv.ParseInt(queue, 16, 64); err == nil && ports[port] {
			sum += int(unread)
		}
	}
	return sum
}

// crowd is a number of clients that behave alike.
type crowd struct {
	clients int
	// act is what one client does with its connection. The connection stays open after it.
	act func(i int, conn net.Conn)
	// addresses are those that the clients connect to, in turn. Empty means that of callers.
	addresses []string
}

// crowdTimeout bounds the time that a client writes or reads. It is not a bound that the tests check.
const crowdTimeout = 15 * time.Second

// enter starts the clients and returns once each has acted. The returned function closes their
// connections.
func (u *unrulyTarget) enter(crowds ...crowd) (leave func()) {
	var mu sync.Mutex
	var conns []net.Conn
	var acting sync.WaitGroup
	for _, w := range crowds {
		addresses := w.addresses
		if len(addresses) == 0 {
			addresses = []string{u.callers}
		}
		for i := range w.clients {
			acting.Go(func() {
				conn, err := net.DialTimeout("tcp", addresses[i%len(addresses)], crowdTimeout)
				if err != nil {
					return // The daemon may refuse connections.
				}
				mu.Lock()
				conns = append(conns, conn)
				mu.Unlock()
				_ = conn.SetDeadline(time.Now().Add(crowdTimeout))
				w.act(i, conn)
			})
		}
	}
	acting.Wait()
	return func() {
		for _, conn := range conns {
			_ = conn.Close()
		}
	}
}

// sampleInterval is the time between two samples of the daemon's usage.
const sampleInterval = 20 * time.Millisecond

// sample records the peaks of the daemon's usage until the returned function is called.
func (u *unrulyTarget) sample() (stop func() usage) {
	done, peaks := make(chan struct{}), make(chan usage)
	go func() {
		var peak usage
		for {
			now := u.usageNow()
			peak.memory, peak.sockets, peak.unread = max(peak.memory, now.memory), max(peak.sockets, now.sockets), max(peak.unread, now.unread)
			select {
			case <-done:
				peaks <- peak
				return
			case <-time.After(sampleInterval):
			}
		}
	}()
	return func() usage {
		close(done)
		return <-peaks
	}
}

// withstands is withstandsAll for crowds.
func (u *unrulyTarget) withstands(crowds ...crowd) {
	u.withstandsAll(func() func() { return u.enter(crowds...) })
}

// withstandsAll checks that the daemon survives the crowds within its limits, answers an ordinary
// request while they are there and after they have gone, and frees what they held. enter starts the
// crowds and returns how to end them.
func (u *unrulyTarget) withstandsAll(enter func() (leave func())) {
	u.c.Assert(u.answered(), qt.IsTrue, qt.Commentf("ordinary request in calm"))
	u.c.Assert(u.largest(), qt.IsTrue, qt.Commentf("largest request in calm"))
	calm := u.usageNow()
	stop := u.sample()
	leave := enter()
	eventually(u.c, "an ordinary request is answered beside the crowd", u.answeredOrEnded)
	peak := stop()
	peak.memory = max(peak.memory, statusBytes(strconv.Itoa(u.cmd.Process.Pid), "VmHWM:"))
	leave()
	eventually(u.c, "an ordinary request is answered after the crowd", u.answeredOrEnded)
	const spare = 60 // The daemon's own connections to the store, engines and other daemons.
	var after usage
	for deadline := time.Now().Add(waitLimit); time.Now().Before(deadline); time.Sleep(sampleInterval) {
		if after = u.usageNow(); after.sockets <= calm.sockets+spare {
			break
		}
	}
	u.c.Check(after.sockets <= calm.sockets+spare, qt.IsTrue, qt.Commentf("%d sockets after the crowd, %d before", after.sockets, calm.sockets))
	u.c.Logf("memory in calm %d MB, at most %d MB, unread at most %d MB; sockets in calm %d, at most %d", calm.memory>>20, peak.memory>>20, peak.unread>>20, calm.sockets, peak.sockets)
	select {
	case <-u.ended:
		u.c.Fatalf("the daemon ended:\n%s", u.output())
	default:
	}
	u.c.Check(peak.memory <= unrulyMemoryMB<<20, qt.IsTrue, qt.Commentf("%d MB, limit %d MB", peak.memory>>20, unrulyMemoryMB))
	u.c.Check(peak.sockets <= unrulyMaxFDs-reservedFDs, qt.IsTrue, qt.Commentf("%d sockets, limit %d", peak.sockets, unrulyMaxFDs-reservedFDs))
}

// answeredOrEnded reports whether an ordinary request is answered, or the daemon has ended.
func (u *unrulyTarget) answeredOrEnded() bool {
	select {
	case <-u.ended:
		return true
	default:
		return u.answered()
	}
}

// chunkedHead returns the head of a request with a chunked body.
func chunkedHead(start string) string { return start + "Transfer-Encoding: chunked\r\n\r\n" }

// writeChunks writes chunks of a size with the given total.
func writeChunks(conn net.Conn, size, total int) {
	chunk := fmt.Appendf(nil, "%x\r\n", size)
	chunk = append(chunk, bytes.Repeat([]byte("b"), size)...)
	chunk = append(chunk, "\r\n"...)
	for sent := 0; sent+size <= total; sent += size {
		if _, err := conn.Write(chunk); err != nil {
			return
		}
	}
}

// shortBodies are clients whose bodies stop just short of their end.
func (u *unrulyTarget) shortBodies() crowd {
	const chunk = 64 << 10
	return crowd{clients: 150, act: func(_ int, conn net.Conn) {
		_, _ = io.WriteString(conn, chunkedHead(u.head))
		writeChunks(conn, chunk, unrulyBodyBytes-chunk)
	}}
}

// tinyChunks are clients whose bodies come in chunks of one byte with extensions.
func (u *unrulyTarget) tinyChunks() crowd {
	const chunksPerWrite, writes = 4096, 75
	chunks := bytes.Repeat([]byte("1;x\r\nb\r\n"), chunksPerWrite)
	return crowd{clients: 380, act: func(_ int, conn net.Conn) {
		_, _ = io.WriteString(conn, chunkedHead(u.head))
		for range writes {
			if _, err := conn.Write(chunks); err != nil {
				return
			}
		}
	}}
}

// announcedBodies are clients that announce the largest body or far more, and send one byte of it.
func (u *unrulyTarget) announcedBodies() crowd {
	return crowd{clients: 380, act: func(i int, conn net.Conn) {
		length := unrulyBodyBytes
		if i%4 == 3 {
			length = 1 << 40
		}
		_, _ = fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\nb", u.head, length)
	}}
}

// endlessBodies are clients that go on sending far over the limit.
func (u *unrulyTarget) endlessBodies() crowd {
	const chunk, total = 64 << 10, 64 << 20
	return crowd{clients: 120, act: func(_ int, conn net.Conn) {
		_, _ = io.WriteString(conn, chunkedHead(u.head))
		writeChunks(conn, chunk, total)
	}}
}

// unfinishedRefusals are clients whose requests are refused by their heads and whose bodies do not
// end.
func (u *unrulyTarget) unfinishedRefusals() crowd {
	return crowd{clients: 700, act: func(_ int, conn net.Conn) {
		_, _ = io.WriteString(conn, chunkedHead(u.unknown)+"1\r\nb\r\n")
	}}
}

// idleConnections are clients that keep connections open without a request, half of them after an
// answer.
func (u *unrulyTarget) idleConnections() crowd {
	return crowd{clients: 700, act: func(i int, conn net.Conn) {
		if i%2 == 0 {
			return
		}
		_, _ = io.WriteString(conn, u.unknown+"Content-Length: 0\r\n\r\n")
		_, _ = bufio.NewReader(conn).ReadString('\n') // The daemon may close the connection.
	}}
}

// endlessHeads are clients whose heads do not end: many short fields, one long field, empty lines,
// and a field each half second.
func (u *unrulyTarget) endlessHeads(addresses ...string) crowd {
	const shortFields, longField, fieldInterval, slowFields = 12_000, 4 << 20, 500 * time.Millisecond, 16
	var fields strings.Builder
	for i := range shortFields {
		fmt.Fprintf(&fields, "%x:\r\n", i)
	}
	long, empty := strings.Repeat("x", longField), strings.Repeat("\r\n", longField/2)
	return crowd{clients: 380, addresses: addresses, act: func(i int, conn net.Conn) {
		switch i / max(len(addresses), 1) % 6 {
		case 0, 1, 2:
			_, _ = io.WriteString(conn, u.head+fields.String())
		case 3:
			_, _ = io.WriteString(conn, u.head+"Long: "+long)
		case 4:
			_, _ = io.WriteString(conn, empty)
		default:
			_, err := io.WriteString(conn, u.head)
			for n := 0; n < slowFields && err == nil; n++ {
				time.Sleep(fieldInterval)
				_, err = fmt.Fprintf(conn, "Slow-%d: x\r\n", n)
			}
		}
	}}
}

// denseBodies are clients whose bodies are complete and consist of very small values: messages, or
// fields that the daemon does not know.
func (u *unrulyTarget) denseBodies() crowd {
	const answerWait = 3 * time.Second
	messages := `{"messages":[` + strings.Repeat("{},", (unrulyBodyBytes-100)/3) + `{"role":"user","content":"x"}]}`
	var fields strings.Builder
	fields.WriteString(`{"messages":[{"role":"user","content":"x"}]`)
	for i := 0; fields.Len() < unrulyBodyBytes-100; i++ {
		fmt.Fprintf(&fields, `,"%x":0`, i)
	}
	bodies := []string{messages, fields.String() + "}"}
	return crowd{clients: 60, act: func(i int, conn net.Conn) {
		body := bodies[i%len(bodies)]
		_, _ = fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", u.head, len(body), body)
		_ = conn.SetReadDeadline(time.Now().Add(answerWait))
		_, _ = bufio.NewReader(conn).ReadString('\n') // The request may run until its deadline.
	}}
}

// unreadAnswers are clients that send requests one after the other and read no answer.
func (u *unrulyTarget) unreadAnswers() crowd {
	const requests = 2000
	request := u.head + "Content-Length: 2\r\n\r\n{}"
	return crowd{clients: 300, act: func(_ int, conn net.Conn) {
		_, _ = io.WriteString(conn, strings.Repeat(request, requests))
	}}
}

// otherListeners are clients of the other listeners: connections without requests, heads and bodies
// without end.
func (u *unrulyTarget) otherListeners() []crowd {
	const chunk, total = 64 << 10, 16 << 20
	idle := crowd{clients: 600, addresses: u.others, act: func(int, net.Conn) {}}
	bodies := crowd{clients: 60, addresses: u.others, act: func(_ int, conn net.Conn) {
		_, _ = io.WriteString(conn, chunkedHead("POST /readyz HTTP/1.1\r\nHost: x\r\n"))
		writeChunks(conn, chunk, total)
	}}
	return []crowd{idle, bodies, u.endlessHeads(u.others...)}
}

func TestUnrulyEntryShortBodies(t *testing.T) {
	u := startUnrulyEntry(t)
	u.withstands(u.shortBodies())
}

func TestUnrulyEntryTinyChunks(t *testing.T) {
	u := startUnrulyEntry(t)
	u.withstands(u.tinyChunks())
}

func TestUnrulyEntryAnnouncedBodies(t *testing.T) {
	u := startUnrulyEntry(t)
	u.withstands(u.announcedBodies())
}

func TestUnrulyEntryEndlessBodies(t *testing.T) {
	u := startUnrulyEntry(t)
	u.withstands(u.endlessBodies())
}

func TestUnrulyEntryUnfinishedRefusals(t *testing.T) {
	u := startUnrulyEntry(t)
	u.withstands(u.unfinishedRefusals())
}

func TestUnrulyEntryIdleConnections(t *testing.T) {
	u := startUnrulyEntry(t)
	u.withstands(u.idleConnections())
}

func TestUnrulyEntryEndlessHeads(t *testing.T) {
	u := startUnrulyEntry(t)
	u.withstands(u.endlessHeads())
}

func TestUnrulyEntryUnreadAnswers(t *testing.T) {
	u := startUnrulyEntry(t)
	u.withstands(u.unreadAnswers())
}

func TestUnrulyEntryOtherListeners(t *testing.T) {
	u := startUnrulyEntry(t)
	u.withstands(u.otherListeners()...)
}

func TestUnrulyEntryAllAtOnce(t *testing.T) {
	u := startUnrulyEntry(t)
	u.withstands(u.all()...)
}

func TestUnrulyChatShortBodies(t *testing.T) {
	u := startUnrulyChat(t)
	u.withstands(u.shortBodies())
}

func TestUnrulyChatTinyChunks(t *testing.T) {
	u := startUnrulyChat(t)
	u.withstands(u.tinyChunks())
}

func TestUnrulyChatAnnouncedBodies(t *testing.T) {
	u := startUnrulyChat(t)
	u.withstands(u.announcedBodies())
}

func TestUnrulyChatEndlessBodies(t *testing.T) {
	u := startUnrulyChat(t)
	u.withstands(u.endlessBodies())
}

func TestUnrulyChatUnfinishedRefusals(t *testing.T) {
	u := startUnrulyChat(t)
	u.withstands(u.unfinishedRefusals())
}

func TestUnrulyChatIdleConnections(t *testing.T) {
	u := startUnrulyChat(t)
	u.withstands(u.idleConnections())
}

func TestUnrulyChatEndlessHeads(t *testing.T) {
	u := startUnrulyChat(t)
	u.withstands(u.endlessHeads())
}

func TestUnrulyChatDenseBodies(t *testing.T) {
	u := startUnrulyChat(t)
	u.withstands(u.denseBodies())
}

func TestUnrulyEntryDenseBodies(t *testing.T) {
	u := startUnrulyEntry(t)
	u.withstands(u.denseBodies())
}

func TestUnrulyChatUnreadAnswers(t *testing.T) {
	u := startUnrulyChat(t)
	u.withstands(u.unreadAnswers())
}

func TestUnrulyChatOtherListeners(t *testing.T) {
	u := startUnrulyChat(t)
	u.withstands(u.otherListeners()...)
}

func TestUnrulyChatAllAtOnce(t *testing.T) {
	u := startUnrulyChat(t)
	u.withstands(u.all()...)
}

// all returns all crowds.
func (u *unrulyTarget) all() []crowd {
	return slices.Concat([]crowd{
		u.shortBodies(), u.tinyChunks(), u.announcedBodies(), u.endlessBodies(), u.unfinishedRefusals(),
		u.idleConnections(), u.endlessHeads(), u.unreadAnswers(),
	}, u.otherListeners())
}
