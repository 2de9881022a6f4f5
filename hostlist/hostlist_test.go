package hostlist_test

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bronzeturn/bronzeturn/hostlist"
	"github.com/bronzeturn/bronzeturn/jsoncall"
	"github.com/bronzeturn/bronzeturn/standin"
)

var hosts = []hostlist.Host{
	{Name: "e1", DataCentre: "hall-centro", Role: hostlist.RoleEntry, State: hostlist.StateLive},
	{Name: "b1", DataCentre: "hall-porto", Role: hostlist.RoleBackend, State: hostlist.StateLive},
	{Name: "b2", DataCentre: "hall-porto", Role: hostlist.RoleBackend, State: hostlist.StateLive},
}

func start(c *qt.C, cfg standin.HostListConfig) (*standin.HostList, *hostlist.Client) {
	s := standin.NewHostList(cfg)
	server := httptest.NewServer(s)
	c.Cleanup(server.Close)
	return s, hostlist.New(server.URL, server.Client())
}

func TestListShowsChangesWithTheirRevisions(t *testing.T) {
	c := qt.New(t)
	s, client := start(c, standin.HostListConfig{Hosts: hosts})
	first, err := client.List(context.Background())
	c.Assert(err, qt.IsNil)
	c.Assert(first.Hosts, qt.HasLen, 3)

	c.Assert(s.SetState("b1", hostlist.StateLeaving), qt.IsTrue)
	c.Assert(s.Remove("b2"), qt.IsTrue)
	second, err := client.List(context.Background())
	c.Assert(err, qt.IsNil)
	c.Assert(second.Revision > first.Revision, qt.IsTrue)
	c.Assert(second.Hosts, qt.HasLen, 2)
	c.Assert(second.Hosts[0], qt.Equals, first.Hosts[0])
	c.Assert(second.Hosts[1].State, qt.Equals, hostlist.StateLeaving)
	c.Assert(second.Hosts[1].Revision > first.Hosts[1].Revision, qt.IsTrue)
}

func TestChangeShowsAfterTheLag(t *testing.T) {
	c := qt.New(t)
	s, client := start(c, standin.HostListConfig{Hosts: hosts})
	s.SetFaults(standin.Faults{LagMillis: time.Hour.Milliseconds()})
	c.Assert(s.SetState("b1", hostlist.StateLeaving), qt.IsTrue)
	list, err := client.List(context.Background())
	c.Assert(err, qt.IsNil)
	c.Assert(list.Hosts[1].State, qt.Equals, hostlist.StateLive)
}

func TestUnavailableListGivesATypedError(t *testing.T) {
	c := qt.New(t)
	s, client := start(c, standin.HostListConfig{})
	s.SetFaults(standin.Faults{Refuse: true})
	_, err := client.List(context.Background())
	var failed *jsoncall.Error
	c.Assert(errors.As(err, &failed), qt.IsTrue)
	c.Assert(failed.Status, qt.Equals, http.StatusServiceUnavailable)
}

func TestInvalidListIsRejected(t *testing.T) {
	tests := []struct {
		name  string
		data  string
		host  int
		field string
	}{
		{"no JSON", `{"revision":1,`, -1, ""},
		{"negative revision", `{"revision":-1}`, -1, ""},
		{"no name", `{"revision":1,"hosts":[{"data_centre":"d","role":"entry","state":"live"}]}`, 0, "name"},
		{"name twice", `{"revision":1,"hosts":[{"name":"a","data_centre":"d","role":"entry","state":"live"},` +
			`{"name":"a","data_centre":"d","role":"entry","state":"live"}]}`, 1, "name"},
		{"no data centre", `{"revision":1,"hosts":[{"name":"a","role":"entry","state":"live"}]}`, 0, "data_centre"},
		{"unknown role", `{"revision":1,"hosts":[{"name":"a","data_centre":"d","role":"x","state":"live"}]}`, 0, "role"},
		{"unknown state", `{"revision":1,"hosts":[{"name":"a","data_centre":"d","role":"entry","state":"x"}]}`, 0, "state"},
		{"host newer than list", `{"revision":1,"hosts":[{"name":"a","data_centre":"d","role":"entry","state":"live","revision":2}]}`, 0, "revision"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			_, err := hostlist.Decode([]byte(test.data))
			var invalid *hostlist.DecodeError
			c.Assert(errors.As(err, &invalid), qt.IsTrue, qt.Commentf("%v", err))
			c.Assert(invalid.Host, qt.Equals, test.host)
			c.Assert(invalid.Field, qt.Equals, test.field)
		})
	}
}

func FuzzDecode(f *testing.F) {
	valid, err := json.Marshal(hostlist.List{Revision: 3, Hosts: hosts})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(valid)
	f.Add([]byte(`{"revision":1,"hosts":[{}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		list, err := hostlist.Decode(data)
		if err != nil {
			var invalid *hostlist.DecodeError
			qt.Assert(t, errors.As(err, &invalid), qt.IsTrue)
			return
		}
		again, err := json.Marshal(list)
		qt.Assert(t, err, qt.IsNil)
		same, err := hostlist.Decode(again)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, same, qt.DeepEquals, list)
	})
}

func TestKnownListIsNotSentAgain(t *testing.T) {
	c := qt.New(t)
	s, client := start(c, standin.HostListConfig{Hosts: hosts})
	first, changed, err := client.ListChanged(context.Background(), 0)
	c.Assert(err, qt.IsNil)
	c.Assert(changed, qt.IsTrue)
	again, changed, err := client.ListChanged(context.Background(), first.Revision)
	c.Assert(err, qt.IsNil)
	c.Assert(changed, qt.IsFalse)
	c.Assert(again.Hosts, qt.HasLen, 0)

	c.Assert(s.SetState("b1", hostlist.StateLeaving), qt.IsTrue)
	next, changed, err := client.ListChanged(context.Background(), first.Revision)
	c.Assert(err, qt.IsNil)
	c.Assert(changed, qt.IsTrue)
	c.Assert(next.Hosts[1].State, qt.Equals, hostlist.StateLeaving)
}
