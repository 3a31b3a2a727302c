package jwsettings

import (
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

const minimalFile = `{
  // The keys that a node requires.
  "node": "n1", "region": "north", "dataCentre": "north-a",
  "listen": {"callers": "127.0.0.1:8080", "operators": "127.0.0.1:8081", "nodes": "127.0.0.1:8082"},
  "platform": {"keyValue": "127.0.0.1:8500", "hosts": "127.0.0.1:8501", "directory": "127.0.0.1:8502"},
  "operators": {"token": "0123456789abcdef"},
  "regions": [
    {"name": "north", "dataCentres": ["north-a", "north-b"]},
    {"name": "south", "dataCentres": ["south-a"]},
  ],
}`

func TestParseDefaults(t *testing.T) {
	s, err := Parse([]byte(minimalFile))
	assert.NilError(t, err)
	assert.Equal(t, s.Node, "n1")
	assert.Equal(t, s.Advertise, s.Listen)
	assert.Equal(t, s.Listen.Nodes, netip.MustParseAddrPort("127.0.0.1:8082"))
	assert.Equal(t, s.Periods.LoadPoll, DefaultLoadPoll)
	assert.Equal(t, s.Limits.MaxBody, int64(DefaultMaxBody))
	assert.Equal(t, s.RegionOf("south-a"), "south")
	assert.Equal(t, s.RegionOf("west-a"), "")
	assert.Equal(t, s.Link("north", "south").Delay, DefaultLinkDelay)
	assert.Equal(t, s.Link("north", "north").Delay, time.Duration(0))
}

func TestParseGiven(t *testing.T) {
	s, err := Parse([]byte(withKeys(`"links": [
    {"from": "north", "to": "south", "delay": "40ms", "costPerGB": 0.5},
  ],
  "advertise": {"callers": "10.0.0.1:80"},
  "periods": {"exchange": "1s"}, "limits": {"maxBody": 1024}, "claims": {"keyMemory": "1h"},
  "drainLimit": "30s", "workers": 2`)))
	assert.NilError(t, err)
	assert.Equal(t, s.Link("south", "north").Delay, 40*time.Millisecond)
	assert.Equal(t, s.Link("south", "north").CostPerGB, 0.5)
	assert.Equal(t, s.Advertise.Callers.String(), "10.0.0.1:80")
	assert.Equal(t, s.Advertise.Nodes, s.Listen.Nodes)
	assert.Equal(t, s.Periods.Exchange, time.Second)
	assert.Equal(t, s.Limits.MaxBody, int64(1024))
	assert.Equal(t, s.Claims.KeyMemory, time.Hour)
	assert.Equal(t, s.DrainLimit, 30*time.Second)
	assert.Equal(t, s.Workers, 2)
}

// withKeys returns the minimal file with more keys.
func withKeys(keys string) string { return strings.TrimSuffix(minimalFile, "}") + keys + "}" }

// withReplaced returns the minimal file with the first from replaced by to.
func withReplaced(from, to string) string { return strings.Replace(minimalFile, from, to, 1) }

func TestFaults(t *testing.T) {
	tests := map[string]struct {
		text string
		want string // in the error
	}{
		"not JSON":            {`{"node": }`, "parse"},
		"not an object":       {`[]`, "must be an object"},
		"unknown key":         {withKeys(`"colour": "red"`), "line 11: colour: unknown key"},
		"unknown inner key":   {withKeys(`"claims": {"memory": "1h"}`), "claims.memory: unknown key"},
		"key twice":           {withKeys(`"node": "n2"`), "node: given twice"},
		"no node":             {withReplaced(`"node": "n1", `, ""), "node: is missing"},
		"bad name":            {withReplaced(`"n1"`, `"N 1"`), "node: may hold only"},
		"long name":           {withReplaced(`"n1"`, `"`+strings.Repeat("n", 64)+`"`), "node: longer than 63"},
		"number for a name":   {withReplaced(`"n1"`, `1`), "node: must be a string"},
		"bad address":         {withReplaced(`"127.0.0.1:8080"`, `"localhost:8080"`), "line 4: listen.callers: must be an IP address"},
		"no address":          {withReplaced(`"nodes": "127.0.0.1:8082"`, ""), "listen.nodes: is missing"},
		"address twice":       {withReplaced(`"127.0.0.1:8082"`, `"127.0.0.1:8081"`), "listen.nodes: 127.0.0.1:8081 is used twice"},
		"unreachable":         {withReplaced(`"127.0.0.1:8082"`, `"0.0.0.0:8082"`), "advertise.nodes: others cannot reach"},
		"service missing":     {withReplaced(`"hosts": "127.0.0.1:8501", `, ""), "platform.hosts: is missing"},
		"service at port 0":   {withReplaced(`"127.0.0.1:8501"`, `"127.0.0.1:0"`), "platform.hosts: nothing can be reached"},
		"hosts path":          {withReplaced(`"hosts":`, `"hostsPath": "x", "hosts":`), "platform.hostsPath: must begin"},
		"short token":         {withReplaced(`0123456789abcdef`, `short`), "operators.token: shorter"},
		"no token":            {withReplaced(`"token": "0123456789abcdef"`, ``), "operators.token: give either"},
		"two tokens":          {withReplaced(`"token":`, `"tokenFile": "f", "token":`), "operators.token: give either"},
		"own region unknown":  {withReplaced(`"region": "north"`, `"region": "west"`), `region: "west" is not among regions`},
		"wrong data centre":   {withReplaced(`"dataCentre": "north-a"`, `"dataCentre": "south-a"`), "dataCentre: "},
		"data centre twice":   {withReplaced(`["south-a"]`, `["north-a"]`), "already belongs to region"},
		"region twice":        {withReplaced(`"name": "south"`, `"name": "north"`), `region "north" is given twice`},
		"no data centre":      {withReplaced(`["south-a"]`, `[]`), "names no data centre"},
		"number in a list":    {withReplaced(`["south-a"]`, `[1]`), "must hold strings"},
		"no regions":          {withReplaced(`"regions"`, `"areas"`), "regions: is missing"},
		"link to unknown":     {withKeys(`"links": [{"from": "north", "to": "west"}]`), `links[0].to: "west"`},
		"link to itself":      {withKeys(`"links": [{"from": "north", "to": "north"}]`), "a link joins two regions"},
		"link twice":          {withKeys(`"links": [{"from":"north","to":"south"},{"from":"north","to":"south"}]`), "links[1].from: "},
		"negative price":      {withKeys(`"links": [{"from":"north","to":"south","costPerGB":-1}]`), "costPerGB: must be from 0"},
		"seed without port":   {withKeys(`"seeds": [{"node": "n2", "address": "127.0.0.1:0"}]`), "seeds[0].address: must name the port"},
		"seed without name":   {withKeys(`"seeds": [{"address": "127.0.0.1:8082"}]`), "seeds[0].node"},
		"links not a list":    {withKeys(`"links": {}`), "links: must be a list"},
		"duration as number":  {withKeys(`"drainLimit": 5`), "drainLimit: must be a string"},
		"bad duration":        {withKeys(`"drainLimit": "soon"`), "drainLimit: must be a duration"},
		"empty duration":      {withKeys(`"drainLimit": ""`), "drainLimit: must be a duration"},
		"duration too long":   {withKeys(`"periods": {"exchange": "1h"}`), "periods.exchange: must be from 50ms to 1m0s, not 1h"},
		"fraction of byte":    {withKeys(`"limits": {"maxBody": 1.5}`), "limits.maxBody: must be a whole number"},
		"string for number":   {withKeys(`"workers": "4"`), "workers: must be a number"},
		"no workers":          {withKeys(`"workers": 0`), "workers: must be from 1"},
		"empty salt":          {withKeys(`"claims": {"salt": ""}`), "claims.salt: is empty"},
		"no key file":         {withKeys(`"tls": {"callers": {"certificate": "c.pem"}}`), "tls.callers.key: is missing"},
		"nodes no authority":  {withKeys(`"tls": {"nodes": {"certificate": "c", "key": "k"}}`), "tls.nodes.authority: is missing"},
		"authority elsewhere": {withKeys(`"tls": {"callers": {"certificate":"c","key":"k","authority":"a"}}`), "tls.callers.authority: unknown key"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := Parse([]byte(tc.text))
			assert.ErrorContains(t, err, tc.want)
		})
	}
}

func TestAllFaultsAtOnce(t *testing.T) {
	_, err := Parse([]byte(`{"node": "", "extra": 1}`))
	var faults Faults
	assert.Assert(t, errors.As(err, &faults))
	assert.Assert(t, len(faults) >= 10, "%v", faults)
}

func TestLoad(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	path := write("node.jsonc", withReplaced(`"token": "0123456789abcdef"`, `"tokenFile": "token"`))
	_, err := Load(path)
	assert.ErrorContains(t, err, "read operators.tokenFile")
	write("token", "short\n")
	_, err = Load(path)
	assert.ErrorContains(t, err, "shorter than 16 bytes")
	write("token", "abcdef0123456789\n")
	s, err := Load(path)
	assert.NilError(t, err)
	assert.Equal(t, s.Operators.Token, "abcdef0123456789")
	_, err = Load(filepath.Join(dir, "none"))
	assert.ErrorIs(t, err, os.ErrNotExist)
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(minimalFile))
	f.Add([]byte(withKeys(`"links": [{"from": "north", "to": "south", "delay": "40ms"}]`)))
	f.Add([]byte(`{"node": 1, /* c */ "node": [], "workers": 1e99}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse(data)
		if err != nil {
			assert.Assert(t, s == nil)
			assert.Assert(t, err.Error() != "")
			return
		}
		assert.Equal(t, s.RegionOf(s.DataCentre), s.Region)
		assert.Assert(t, s.Workers > 0)
	})
}
