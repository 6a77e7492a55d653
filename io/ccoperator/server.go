// Package ccoperator implements the HTTP interface for operators, and a client for it: configuration, state dumps,
// planned stops and metrics.
package ccoperator

import (
	"context"
	"net/http"
	"time"

	"coriandercross/core/ccteam"
	"coriandercross/io/cchttp"
	"coriandercross/io/ccnode"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"
)

// Backend is the process that operators administer; ccnode.Node implements it.
type Backend interface {
	Configuration() (ccteam.Document, uint64)
	History(ctx context.Context) ([]ccnode.Edit, error)
	Apply(ctx context.Context, doc ccteam.Document, base uint64, by string) (uint64, error)
	Revisions() []ccnode.MemberRevision
	Dump() ccnode.Dump
}

// Config configures the interface.
type Config struct {
	Backend Backend
	// Metrics serves the Prometheus metrics.
	Metrics http.Handler
	// Drain starts a planned stop and returns without waiting for its end.
	Drain func()
}

// URL paths of the interface.
const (
	configPath    = "/v1/config"
	historyPath   = "/v1/config/history"
	revisionsPath = "/v1/config/revisions"
	dumpPath      = "/v1/dump"
	drainPath     = "/v1/drain"
)

// maxConfigBody bounds the body of an edit, in bytes.
const maxConfigBody = 1 << 20

// Handler returns the HTTP interface for operators.
func Handler(cfg Config) http.Handler {
	s := &server{cfg: cfg}
	r := mux.NewRouter()
	r.HandleFunc(configPath, cchttp.HandleGet(s.config)).Methods(http.MethodGet)
	r.HandleFunc(configPath, cchttp.HandleJSON(maxConfigBody, newApplyRequest, s.apply)).Methods(http.MethodPut)
	r.HandleFunc(historyPath, cchttp.HandleGet(s.history)).Methods(http.MethodGet)
	r.HandleFunc(revisionsPath, cchttp.HandleGet(s.revisions)).Methods(http.MethodGet)
	r.HandleFunc(dumpPath, cchttp.HandleGet(s.dump)).Methods(http.MethodGet)
	r.HandleFunc(drainPath, cchttp.HandleGet(s.drain)).Methods(http.MethodPost)
	r.Handle("/metrics", cfg.Metrics).Methods(http.MethodGet)
	return r
}

// server handles the calls of operators.
type server struct {
	cfg Config
}

// ConfigReply is the configuration in force at one process.
type ConfigReply struct {
	Revision uint64
	Document ccteam.Document
}

// config returns the configuration in force.
func (s *server) config(*http.Request) (ConfigReply, error) {
	doc, revision := s.cfg.Backend.Configuration()
	return ConfigReply{Revision: revision, Document: doc}, nil
}

// ApplyRequest is an edit of the configuration.
type ApplyRequest struct {
	// Base is the revision that the edit was made on; 0 when there was no configuration.
	Base uint64
	// By names the operator.
	By       string
	Document ccteam.Document
}

// newApplyRequest returns an empty edit to decode into.
func newApplyRequest() *ApplyRequest {
	return &ApplyRequest{}
}

// Check implements cchttp.Validator.
func (b *ApplyRequest) Check() error {
	if b.By == "" {
		return errors.Wrap(cchttp.ErrBadRequest, "By must be set")
	}
	return nil
}

// ApplyReply is the reply to an edit that was accepted.
type ApplyReply struct {
	Revision uint64
}

// apply accepts an edit.
func (s *server) apply(r *http.Request, in *ApplyRequest) (ApplyReply, error) {
	revision, err := s.cfg.Backend.Apply(r.Context(), in.Document, in.Base, in.By)
	return ApplyReply{Revision: revision}, err
}

// HistoryEntry is one accepted edit.
type HistoryEntry struct {
	Revision uint64
	At       time.Time
	By       string
	Document ccteam.Document
}

// HistoryReply holds the last edits, the newest last.
type HistoryReply struct {
	Edits []HistoryEntry
}

// history returns the last edits.
func (s *server) history(r *http.Request) (HistoryReply, error) {
	edits, err := s.cfg.Backend.History(r.Context())
	var out HistoryReply
	for _, e := range edits {
		out.Edits = append(out.Edits, HistoryEntry{Revision: e.Revision, At: time.UnixMilli(e.At).UTC(), By: e.By, Document: e.Document})
	}
	return out, err
}

// RevisionsReply holds the revision in force at each living process.
type RevisionsReply struct {
	Members []ccnode.MemberRevision
}

// revisions returns the revision in force at each living process.
func (s *server) revisions(*http.Request) (RevisionsReply, error) {
	return RevisionsReply{Members: s.cfg.Backend.Revisions()}, nil
}

// dump returns a snapshot of the state of the process.
func (s *server) dump(*http.Request) (ccnode.Dump, error) {
	return s.cfg.Backend.Dump(), nil
}

// DrainReply confirms that a planned stop has started.
type DrainReply struct {
	Draining bool
}

// drain starts a planned stop.
func (s *server) drain(*http.Request) (DrainReply, error) {
	s.cfg.Drain()
	return DrainReply{Draining: true}, nil
}
