package jwstand

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
)

const (
	workspaceSchema = "urn:jujubewheel:scim:Workspace"
	userSchema      = "urn:ietf:params:scim:schemas:core:2.0:User"
	listSchema      = "urn:ietf:params:scim:api:messages:2.0:ListResponse"
	maxPageSize     = 1000 // users in one answer
)

// Client is one workspace in the client directory.
type Client struct {
	Name   string `json:"name"`   // name of the workspace
	Region string `json:"region"` // home region
	Bound  bool   `json:"bound"`  // whether the data is bound to Region
	Owner  string `json:"owner"`  // owner of the workspace
}

// Clients stands in for the client directory. It serves a SCIM 2.0 list with an
// ETag.
type Clients struct {
	mu      sync.Mutex
	clients []Client
	version int
}

// Set replaces the directory.
func (c *Clients) Set(clients []Client) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.clients = clients
	c.version++
}

// current returns the workspaces and the ETag of this version of the directory.
func (c *Clients) current() (clients []Client, tag string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.clients, fmt.Sprintf("%q", strconv.Itoa(c.version))
}

// Handler implements Program.
func (c *Clients) Handler(func() Faults) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /scim/v2/Users", c.list)
	return mux
}

// Register implements Program.
func (c *Clients) Register(control *http.ServeMux) {
	control.HandleFunc("GET /clients", func(w http.ResponseWriter, _ *http.Request) {
		clients, _ := c.current()
		writeJSON(w, http.StatusOK, clients)
	})
	control.HandleFunc("PUT /clients", func(w http.ResponseWriter, r *http.Request) {
		var clients []Client
		if readJSON(w, r, &clients) {
			c.Set(clients)
		}
	})
}

type listResponse struct {
	Schemas      []string `json:"schemas"`
	TotalResults int      `json:"totalResults"`
	StartIndex   int      `json:"startIndex"`
	ItemsPerPage int      `json:"itemsPerPage"`
	Resources    []user   `json:"Resources"`
}

type user struct {
	Schemas   []string  `json:"schemas"`
	ID        string    `json:"id"`
	UserName  string    `json:"userName"`
	Active    bool      `json:"active"`
	Workspace workspace `json:"urn:jujubewheel:scim:Workspace"`
}

type workspace struct {
	Region string `json:"region"`
	Bound  bool   `json:"bound"`
	Owner  string `json:"owner"`
}

// list answers one page of users, as SCIM 2.0 defines it.
func (c *Clients) list(w http.ResponseWriter, r *http.Request) {
	clients, tag := c.current()
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	query := r.URL.Query()
	start := max(parseIntOr(query.Get("startIndex"), 1), 1)
	count := min(max(parseIntOr(query.Get("count"), maxPageSize), 0), maxPageSize)
	from := min(start-1, len(clients))
	to := min(from+count, len(clients))
	list := listResponse{
		Schemas:      []string{listSchema},
		TotalResults: len(clients),
		StartIndex:   start,
		ItemsPerPage: to - from,
		Resources:    make([]user, 0, to-from),
	}
	for _, client := range clients[from:to] {
		list.Resources = append(list.Resources, user{
			Schemas:   []string{userSchema, workspaceSchema},
			ID:        client.Name,
			UserName:  client.Name,
			Active:    true,
			Workspace: workspace{Region: client.Region, Bound: client.Bound, Owner: client.Owner},
		})
	}
	writeJSON(withGzip(w, r), http.StatusOK, list)
}

// parseIntOr parses an integer; it returns fallback if the text is none.
func parseIntOr(text string, fallback int) int {
	n, err := strconv.Atoi(text)
	if err != nil {
		return fallback
	}
	return n
}
