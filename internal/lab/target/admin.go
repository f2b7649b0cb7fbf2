package target

import (
	"encoding/json"
	"net/http"
)

// maxFaults bounds the body of PUT /admin/faults, in bytes.
const maxFaults = 4 << 10

func (t *Target) health(w http.ResponseWriter, _ *http.Request) {
	if !t.look().shown.Healthy {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (t *Target) load(w http.ResponseWriter, _ *http.Request) {
	write(w, t.look().shown)
}

// ledger lists the requests that were started, in the order of their ids.
func (t *Target) ledger(w http.ResponseWriter, _ *http.Request) {
	write(w, t.Ledger())
}

func (s State) entries() []LedgerEntry {
	entries := make([]LedgerEntry, 0, s.ledger.Len())
	for _, entry := range s.ledger.All() {
		entries = append(entries, entry)
	}
	return entries
}

// Ledger returns the requests that were started, in the order of their ids, also after the end.
func (t *Target) Ledger() []LedgerEntry { return t.look().entries() }

// SetFaults replaces the faults.
func (t *Target) SetFaults(f Faults) { t.send(post{body: faultsSet{faults: f}}) }

func (t *Target) setFaults(w http.ResponseWriter, r *http.Request) {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxFaults))
	decoder.DisallowUnknownFields()
	var faults Faults
	if err := decoder.Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	t.SetFaults(faults)
	w.WriteHeader(http.StatusNoContent)
}

func write(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
