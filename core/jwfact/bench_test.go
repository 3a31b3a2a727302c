package jwfact

import (
	"fmt"
	"testing"

	"jujubewheel/core/jwstore"
)

// fleetTable returns the facts of a fleet of nodes.
func fleetTable(nodes int) *Table {
	x := new(Table)
	for i := range nodes {
		value := fmt.Appendf(nil, `{"name":"edge-north-a-%d","region":"north","dataCentre":"north-a","callers":"10.1.0.%d:8144","nodes":"10.1.0.%d:8143","start":1767225600000000000,"change":1,"serving":true,"trip":25,"capacity":80}`, i, i%250, i%250)
		x.Apply(jwstore.Event{Key: fmt.Sprint("jujubewheel/nodes/edge-north-a-", i), Value: value, Revision: jwstore.Revision(i + 1)})
	}
	return x
}

func BenchmarkAll(b *testing.B) {
	x := fleetTable(1000)
	b.ReportAllocs()
	for b.Loop() {
		x.All(t0)
	}
}

func BenchmarkMerge(b *testing.B) {
	facts := fleetTable(1000).All(t0)
	x := new(Table)
	b.ReportAllocs()
	for b.Loop() {
		x.Merge(t0, facts, 1001)
	}
}
