package jwsettings

import (
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

func TestExamples(t *testing.T) {
	for _, example := range []string{"zaitoun", "cladagh"} {
		t.Run(example, func(t *testing.T) {
			paths, err := filepath.Glob(filepath.Join("..", "..", "examples", example, "*-n?.jsonc"))
			assert.NilError(t, err)
			assert.Equal(t, len(paths), 9)
			callers, nodesPerRegion := map[string]bool{}, map[string]int{}
			for _, path := range paths {
				s, err := Load(path)
				assert.NilError(t, err)
				assert.Equal(t, filepath.Base(path), s.Node+".jsonc")
				callers[s.Listen.Callers.String()] = true
				nodesPerRegion[s.Region]++
				for _, r := range s.Regions {
					assert.Assert(t, s.Link(s.Region, r.Name).Delay < DefaultLinkDelay)
				}
			}
			assert.Equal(t, len(callers), 9)
			for region, n := range nodesPerRegion {
				assert.Equal(t, n, 3, region)
			}
		})
	}
}

func TestLoopbackExample(t *testing.T) {
	for _, region := range []string{"a", "b", "c"} {
		s, err := Load(filepath.Join("..", "..", "examples", "loopback", region+"-1.jsonc"))
		assert.NilError(t, err)
		assert.Equal(t, s.Node, region+"-1")
		assert.Equal(t, s.Region, region)
	}
}
