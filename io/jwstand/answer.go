package jwstand

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// writeJSON writes a value as the complete answer.
func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	body, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.WriteHeader(status)
	_, _ = w.Write(append(body, '\n')) // the caller may have closed the connection
}

// readJSON decodes the request body into value. It reports whether that
// succeeded, and answers 400 for invalid JSON.
func readJSON(w http.ResponseWriter, r *http.Request, value any) bool {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		return false
	}
	return decodeJSON(w, body, value)
}

// decodeJSON decodes a body into value and rejects unknown fields. It reports
// whether that succeeded, and answers 400 otherwise.
func decodeJSON(w http.ResponseWriter, body []byte, value any) bool {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// writeJSONWithETag writes a value with its ETag, or 304 if the request has the
// same ETag in If-None-Match.
func writeJSONWithETag(w http.ResponseWriter, r *http.Request, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	tag := fmt.Sprintf("\"%016x\"", xxhash.Sum64(body))
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	writeJSON(withGzip(w, r), http.StatusOK, json.RawMessage(body))
}

// withGzip returns a writer that compresses the answer, if the caller accepts
// gzip. The answer must be written in one Write.
func withGzip(w http.ResponseWriter, r *http.Request) http.ResponseWriter {
	if !strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		return w
	}
	return &gzipResponseWriter{ResponseWriter: w}
}

// gzipResponseWriter compresses each Write as a gzip member of its own. A
// sequence of members is one valid gzip file.
type gzipResponseWriter struct {
	http.ResponseWriter
}

// WriteHeader implements http.ResponseWriter.
func (g *gzipResponseWriter) WriteHeader(status int) {
	g.Header().Set("Content-Encoding", "gzip")
	g.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (g *gzipResponseWriter) Write(b []byte) (int, error) {
	zw := gzip.NewWriter(g.ResponseWriter)
	n, err := zw.Write(b)
	if err != nil {
		return n, err
	}
	return n, zw.Close()
}
