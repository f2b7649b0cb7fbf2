package target

import (
	"encoding/json"
	"net/http"
)

// maxFaultsBytes bounds the body of PUT /admin/faults.
const maxFaultsBytes = 4 << 10

func (t *Target) health(w http.ResponseWriter, _ *http.Request) {
	if !t.snapshot().loadStatus.Healthy {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (t *Target) load(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, t.snapshot().loadStatus)
}

// ledger lists the runs of each request in the order of the request ids.
func (t *Target) ledger(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, t.Ledger())
}

func (s State) ledgerEntries() []LedgerEntry {
	entries := make([]LedgerEntry, 0, s.ledger.Len())
	for _, entry := range s.ledger.All() {
		entries = append(entries, entry)
	}
	return entries
}

// Ledger returns the runs of each request in the order of the request ids. It also works after the stand-in has ended.
func (t *Target) Ledger() []LedgerEntry { return t.snapshot().ledgerEntries() }

// SetFaults replaces the faults.
func (t *Target) SetFaults(f Faults) { t.send(input{body: faultsSet{faults: f}}) }

func (t *Target) setFaults(w http.ResponseWriter, r *http.Request) {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxFaultsBytes))
	decoder.DisallowUnknownFields()
	var faults Faults
	if err := decoder.Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	t.SetFaults(faults)
	w.WriteHeader(http.StatusNoContent)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
