package jwnode

import (
	"net/netip"

	"jujubewheel/io/jwoperate"
	"jujubewheel/io/jwrest"
)

// listenOperators opens the port for operators and sets up its handlers.
func (n *Node) listenOperators() error {
	s := n.Settings
	operators := &jwoperate.Operators{
		Token: s.Operators.Token, Table: &n.board.Catalogue, Editor: n.editor, Acceptance: &auditedAcceptance{Acceptance: n.acceptance, audit: n.Audit},
		Members:   n.acceptance,
		Explainer: n.tracer, Peers: &n.board.Peers, Targets: &n.board.Targets, Audit: n.Audit,
		Metrics: n.Meter.Handler(), Ready: n.ready, Log: n.Log,
	}
	handler, err := operators.Handler()
	if err != nil {
		return err
	}
	n.operators = &jwrest.Server{
		Name: "operators", Address: s.Listen.Operators, Handler: handler, MaxHeader: s.Limits.MaxHeader, Log: n.Log,
		TLS: serverTLS(n.keys.operators),
	}
	return n.operators.Listen()
}

// OperatorsAddr returns the address of the listener for operators. It is valid
// once Listen has returned.
func (n *Node) OperatorsAddr() netip.AddrPort { return n.operators.Addr() }
