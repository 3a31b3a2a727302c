package jwgateway

import "jujubewheel/io/jwsettings"

// controlsOverload reports whether overload control applies to a service: by the settings, by the
// platform's rules, or because its targets report their pace.
func (g *Gateway) controlsOverload(service string) bool {
	switch g.Settings.Gateway.Overload {
	case jwsettings.OverloadOn:
		return true
	case jwsettings.OverloadAuto:
		return g.ControlOverload || g.targets.ReportsPace(service)
	}
	return false
}
