// Package jwkeys keeps the TLS certificates of a node's ports and loads them
// anew when their files change. Between nodes both ends show a certificate that
// the authority signed and whose SAN holds the URI
// spiffe://jujubewheel/region/REGION/node/NAME.
package jwkeys
