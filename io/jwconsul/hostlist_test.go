package jwconsul

import (
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"jujubewheel/core/jwhost"
)

func TestDecodeHosts(t *testing.T) {
	tests := map[string]struct {
		body string
		want []jwhost.Host
		err  string
	}{
		"empty": {body: `[]`},
		"a node and a leaving target": {
			body: `[{"targets":["127.0.0.1:80"],"labels":{"name":"n1","role":"entry","region":"r1","dataCentre":"d1","state":"live","nodes":"127.0.0.1:81"}},
				{"targets":["127.0.0.1:90"],"labels":{"role":"target","region":"r1","dataCentre":"d1","service":"s1","state":"leaving","__meta_x":"y"}}]`,
			want: []jwhost.Host{
				{
					Name: "n1", Role: jwhost.Node, Region: "r1", DataCentre: "d1",
					Address: netip.MustParseAddrPort("127.0.0.1:80"), NodeAddress: netip.MustParseAddrPort("127.0.0.1:81"),
				},
				{
					Role: jwhost.Target, Region: "r1", DataCentre: "d1", Service: "s1",
					Address: netip.MustParseAddrPort("127.0.0.1:90"), Leaving: true,
				},
			},
		},
		"truncated":                              {body: `[{"targets":["127.0.0.1:80"]`, err: "decode"},
		"host name as address":                   {body: `[{"targets":["node:80"],"labels":{"role":"entry","region":"r1"}}]`, err: "decode group 0"},
		"no region":                              {body: `[{"targets":["127.0.0.1:80"],"labels":{"role":"entry"}}]`, err: "no region"},
		"a role that is neither node nor target": {body: `[{"targets":["printer"],"labels":{"role":"x"}}]`},
		"unknown state": {
			body: `[{"targets":["127.0.0.1:80"],"labels":{"role":"entry","region":"r1","state":"x"}}]`,
			want: []jwhost.Host{{Role: jwhost.Node, Region: "r1", Address: netip.MustParseAddrPort("127.0.0.1:80"), Leaving: true}},
		},
		"nodes address without port": {body: `[{"targets":["127.0.0.1:80"],"labels":{"role":"entry","region":"r1","nodes":"127.0.0.1"}}]`, err: "decode group 0"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			hosts, err := decodeHosts([]byte(test.body))
			if test.err != "" {
				assert.ErrorContains(t, err, test.err)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, len(hosts), len(test.want))
			for i := range hosts {
				assert.Equal(t, hosts[i], test.want[i])
			}
		})
	}
}

func FuzzDecodeHosts(f *testing.F) {
	f.Add([]byte(`[]`))
	f.Add([]byte(`[{"targets":["127.0.0.1:80"],"labels":{"role":"entry","region":"r1","nodes":"[::1]:81"}}]`))
	f.Add([]byte(`[{"targets":["x"],"labels":{"role":"target","region":"r1"}}]`))
	f.Fuzz(func(t *testing.T, body []byte) {
		hosts, err := decodeHosts(body)
		if err != nil {
			assert.Check(t, hosts == nil, "an error must not come with a partial list")
		}
		for _, host := range hosts {
			assert.Check(t, host.Address.IsValid() && host.Region != "", "%v", host)
		}
	})
}

func FuzzDecodeItems(f *testing.F) {
	f.Add([]byte(`[{"Key":"a","Value":"b25l","ModifyIndex":2}]`))
	f.Add([]byte(`[{"Key":"a","Value":null,"ModifyIndex":3}]`))
	f.Add([]byte(`[{"Key":"a","Value":"!","ModifyIndex":3}]`))
	f.Fuzz(func(t *testing.T, body []byte) {
		items, err := decodeItems(body)
		if err != nil {
			assert.Check(t, items == nil)
		}
		for _, item := range items {
			assert.Check(t, item.Version > 0, "an existing key must have a version")
		}
	})
}

func FuzzDecodeTransaction(f *testing.F) {
	f.Add([]byte(`{"Results":[{"KV":{"Key":"k","ModifyIndex":7}}],"Errors":null}`), "k")
	f.Add([]byte(`{"Results":[],"Errors":null}`), "k")
	f.Fuzz(func(t *testing.T, body []byte, key string) {
		version, err := decodeTransaction(body, operation{Verb: swapVerb, Key: key})
		assert.Check(t, (err == nil) == (version > 0))
	})
}

func FuzzDecodeDirectory(f *testing.F) {
	f.Add([]byte(`{"totalResults":1,"Resources":[{"userName":"w","urn:jujubewheel:scim:Workspace":{"region":"r1","bound":true,"owner":"o"}}]}`))
	f.Add([]byte(`{"totalResults":1,"Resources":[{"userName":"w"}]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		page, err := decodeDirectory(body)
		if err != nil {
			assert.Check(t, page == nil)
			return
		}
		assert.Check(t, len(page.workspaces) <= page.total)
		for _, w := range page.workspaces {
			assert.Check(t, w.Name != "" && w.Region != "", "%v", w)
		}
	})
}
