package jwsettings

import (
	"errors"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp/cmpopts"
	"gotest.tools/v3/assert"
)

const gatewayFile = `// of one node
{
  "node": "n1", "region": "north", "dataCentre": "north-a",
  "gateway": {
    "listen": {"callers": "10.0.0.1:80", "ready": "10.0.0.1:81", "directory": "10.0.0.1:82", "nodes": "10.0.0.1:83"},
    "store": {"address": "10.9.0.1:90", "leaseMin": "1000ms"},
    "dataCentres": [{"name": "north-a", "region": "north"}],
    "seeds": ["10.0.0.2:83"],
    "memoryMB": 284, "descriptors": 4100,
    "overload": "auto",
    "waitingRoom": "target",
    "contracts": ["base", "drain"],
    "bounds": {"grace": "8s", "configInForce": "5s", "retryRatio": 0.2, "retrySlack": 58, "retryWindow": "10s", "coldRatio": 1.5, "coldSlack": 3,
      "quotaWindow": "8s", "quotaRatio": 0.1, "quotaSlack": 110000},
  },
}`

func TestGateway(t *testing.T) {
	s, err := Parse([]byte(gatewayFile))
	assert.NilError(t, err)
	at := netip.MustParseAddrPort
	assert.DeepEqual(t, *s.Gateway, Gateway{
		Listen: GatewayAddresses{Callers: at("10.0.0.1:80"), Ready: at("10.0.0.1:81"), Directory: at("10.0.0.1:82"), Nodes: at("10.0.0.1:83")},
		Store:  GatewayStore{Address: at("10.9.0.1:90"), LeaseMin: time.Second}, DataCentres: map[string]string{"north-a": "north"},
		Seeds: []netip.AddrPort{at("10.0.0.2:83")}, MemoryBytes: 284 << 20, Descriptors: 4100,
		Overload: OverloadAuto, WaitingRoom: WaitAtTarget, Contracts: []string{"base", "drain"},
		Bounds: Bounds{Grace: 8 * time.Second, ConfigInForce: 5 * time.Second, RetryRatio: 0.2, RetrySlack: 58, RetryWindow: 10 * time.Second, ColdRatio: 1.5, ColdSlack: 3, QuotaWindow: 8 * time.Second, QuotaRatio: 0.1, QuotaSlack: 110_000},
	}, cmpopts.EquateComparable(netip.AddrPort{}))
}

func TestOverloadControlIsOffByDefault(t *testing.T) {
	s, err := Parse([]byte(strings.Replace(gatewayFile, `"overload": "auto",`, "", 1)))
	assert.NilError(t, err)
	assert.Equal(t, s.Gateway.Overload, OverloadOff)
	assert.Assert(t, !s.Gateway.Overload.Enabled() && !OverloadMode("").Enabled())
}

func TestGatewayFaults(t *testing.T) {
	cases := map[string]struct{ old, replacement, key string }{
		"no node":                    {`"node": "n1", `, ``, "node"},
		"a data centre of no region": {`"dataCentre": "north-a"`, `"dataCentre": "south-a"`, "dataCentre"},
		"no store":                   {`"address": "10.9.0.1:90", `, ``, "gateway.store.address"},
		"a host name as address":     {`"10.0.0.1:83"}`, `"host:83"}`, "gateway.listen.nodes"},
		"a host name as seed":        {`["10.0.0.2:83"]`, `["host"]`, "gateway.seeds"},
		"a duration without unit":    {`"grace": "8s"`, `"grace": "8"`, "gateway.bounds.grace"},
		"a number as string":         {`"retrySlack": 58`, `"retrySlack": "58"`, "gateway.bounds.retrySlack"},
		"a negative ratio":           {`"quotaRatio": 0.1`, `"quotaRatio": -1`, "gateway.bounds.quotaRatio"},
		"a duration as number":       {`"quotaWindow": "8s"`, `"quotaWindow": 8`, "gateway.bounds.quotaWindow"},
		"a mode of overload control": {`"auto"`, `"sometimes"`, "gateway.overload"},
		"a place to wait":            {`"target"`, `"nowhere"`, "gateway.waitingRoom"},
		"an unknown key":             {`"memoryMB"`, `"memory"`, "gateway.memory"},
		"negative descriptors":       {`4100`, `-1`, "gateway.descriptors"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := Parse([]byte(strings.Replace(gatewayFile, c.old, c.replacement, 1)))
			var faults Faults
			assert.Assert(t, errors.As(err, &faults), "%v", err)
			assert.Equal(t, faults[0].Key, c.key)
		})
	}
}
