package jwrouter

import (
	"fmt"
	"testing"
	"time"

	"jujubewheel/core/jwtarget"
)

var targetCounts = []int{12, 250, 3200}

func BenchmarkPick(b *testing.B) {
	for _, subset := range []int{jwtarget.DefaultSubset, -1} {
		for _, n := range targetCounts {
			b.Run(fmt.Sprintf("targets=%d/subset=%d", n, subset), func(b *testing.B) {
				r := newRouter(n, subset, func(i int) jwtarget.Load { return jwtarget.Load{Running: i % 9, Slots: 8} })
				q := newQuery()
				q.Prefill = time.Second
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					q.Random = uint64(i) * 0x9e3779b97f4a7c15
					q.Prefix = q.Random | 1
					r.Pick(q)
				}
			})
		}
	}
}

func BenchmarkPlace(b *testing.B) {
	for _, n := range targetCounts {
		b.Run(fmt.Sprintf("targets=%d/regions=13", n), func(b *testing.B) {
			r := newRouter(n, jwtarget.DefaultSubset, busy)
			for i := range 13 {
				r.Regions.Merge(Load{Region: fmt.Sprintf("o%d", i), Service: "s", Slots: 64, Targets: 8, Taken: start})
			}
			q := newQuery()
			b.ReportAllocs()
			for b.Loop() {
				r.Place(q)
			}
		})
	}
}
