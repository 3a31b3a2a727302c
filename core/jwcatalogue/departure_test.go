package jwcatalogue

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jujubewheel/core/jwhost"
)

// fakeHostList is a host list that the test replaces.
type fakeHostList struct {
	names    []string
	listTime time.Time
}

func (h *fakeHostList) Hosts() ([]jwhost.Host, time.Time) {
	var hosts []jwhost.Host
	for _, name := range h.names {
		hosts = append(hosts, jwhost.Host{Name: name, Role: jwhost.Node, Region: regionOfName(name)})
	}
	return hosts, h.listTime
}

func TestHostRemovals(t *testing.T) {
	// The list is read every 40 s, its lag is a minute. A node that counts as
	// gone too early goes on serving an old catalogue after a change was
	// accepted. A node that never counts as gone holds back every change.
	tests := map[string]struct {
		lists []string // names listed, one list after the other
		ask   string   // incarnation of n1 asked about after each list
		want  bool     // whether n1 is gone after the last
	}{
		"listed":                         {[]string{"n0 n1", "n0 n1", "n0 n1"}, "aaa", false},
		"missing longer than the lag":    {[]string{"n0 n1", "n0", "n0", "n0"}, "aaaa", true},
		"missing shorter than the lag":   {[]string{"n0 n1", "n0", "n0"}, "aaa", false},
		"back in between":                {[]string{"n0", "n0", "n0 n1", "n0", "n0"}, "aaaaa", false},
		"whole region":                   {[]string{"n0 n1 s0", "s0", "s0", "s0", "s0"}, "aaaaa", false},
		"region comes back one by one":   {[]string{"n0", "s0", "s0", "s0", "n0"}, "aaaaa", false},
		"region is missing for a moment": {[]string{"n0", "s0", "s0", "n0"}, "aaaa", false},
		"later still without it":         {[]string{"n0", "s0", "s0", "n0", "n0", "n0"}, "aaaaaa", true},
		"restarted, list is behind":      {[]string{"n0", "n0", "n0", "n0"}, "aaab", false},
		"list is not read":               {[]string{"n0", "", "", ""}, "aaaa", false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			h := &fakeHostList{listTime: time.Unix(1000, 0)}
			d := &HostRemovals{Hosts: h, Lag: time.Minute}
			var got bool
			for i, list := range tt.lists {
				if list != "" {
					h.names, h.listTime = strings.Fields(list), h.listTime.Add(40*time.Second)
				}
				got = d.Gone(Member{Name: "n1", Region: "north", Incarnation: tt.ask[i : i+1]})
			}
			assert.Equal(t, got, tt.want)
		})
	}
}
