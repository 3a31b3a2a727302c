// Package jwcert loads the TLS certificates of a node's ports and reloads them when
// their files change. Nodes authenticate each other with mutual TLS: each presents a
// certificate that is signed by the authority and has the URI
// spiffe://jujubewheel/region/REGION/node/NAME as a subject alternative name.
package jwcert
