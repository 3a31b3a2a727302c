package jwcatalogue

import (
	"cmp"
	"flag"
	"os"
)

// Every run draws the same cases unless JUJUBE_SEED sets another seed.
func init() { _ = flag.Set("rapid.seed", cmp.Or(os.Getenv("JUJUBE_SEED"), "1")) }
