package jwcommand

import (
	"fmt"
	"runtime/debug"
)

// versionCommand prints the version.
type versionCommand struct{}

// Run prints the version of the module and of the source it was built from.
func (*versionCommand) Run(p *Program) error {
	fmt.Fprintln(p.Stdout, "jujubewheel", version())
	return nil
}

func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	text := info.Main.Version
	if text == "" {
		text = "(devel)"
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			text += " " + s.Value
		}
	}
	return text + " " + info.GoVersion
}
