package jwconsul_test

import (
	"context"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"jujubewheel/core/jwdirectory"
	"jujubewheel/io/jwconsul"
	"jujubewheel/io/jwstand"
)

func TestDirectory(t *testing.T) {
	ctx := context.Background()
	clients := &jwstand.Clients{}
	stand := startStand(t, clients)
	directory := &jwconsul.Directory{Address: stand.Address}

	empty, err := directory.Fetch(ctx, "")
	assert.NilError(t, err)
	assert.Equal(t, len(empty.Workspaces), 0)

	var list []jwstand.Client
	for i := range 2500 {
		list = append(list, jwstand.Client{Name: fmt.Sprintf("w%04d", i), Region: "r1", Bound: i%2 == 0, Owner: "o"})
	}
	clients.Set(list)
	full, err := directory.Fetch(ctx, empty.Version)
	assert.NilError(t, err)
	assert.Equal(t, len(full.Workspaces), len(list))
	assert.Equal(t, full.Workspaces["w2498"], jwdirectory.Workspace{Name: "w2498", Region: "r1", Bound: true, Owner: "o"})

	before := directory.Calls()
	same, err := directory.Fetch(ctx, full.Version)
	assert.NilError(t, err)
	assert.Check(t, same == nil, "an unchanged directory must not be returned again")
	assert.Equal(t, directory.Calls()-before, uint64(1))
}

// If a directory lists a workspace twice, the later entry must not decide which region
// bound data may go to. Fetch treats such a directory as one that changed while it was
// read.
func TestDirectoryDuplicate(t *testing.T) {
	clients := &jwstand.Clients{}
	clients.Set([]jwstand.Client{{Name: "w", Region: "r1"}, {Name: "w", Region: "r2"}})
	stand := startStand(t, clients)
	directory := &jwconsul.Directory{Address: stand.Address}
	_, err := directory.Fetch(context.Background(), "")
	assert.ErrorContains(t, err, "changed during")
}

func TestHostList(t *testing.T) {
	hosts := &jwstand.Hosts{}
	stand := startStand(t, hosts)
	list := &jwconsul.HostList{Address: stand.Address}
	got, err := list.Hosts(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, len(got), 0)
	hosts.Set([]jwstand.HostGroup{{
		Targets: []string{"127.0.0.1:1", "127.0.0.1:2"},
		Labels:  map[string]string{"role": "target", "region": "r1"},
	}})
	got, err = list.Hosts(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, len(got), 2)
	before := list.Traffic()
	same, err := list.Hosts(context.Background())
	assert.NilError(t, err)
	assert.Check(t, &same[0] == &got[0], "an unchanged list must not be decoded again")
	assert.Check(t, list.Traffic().Received > before.Received)
	assert.Equal(t, list.Calls(), uint64(3))
}
