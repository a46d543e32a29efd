package fault

import (
	"encoding/json"
	"net/http"
)

// Handler serves the control interface:
//
//	PUT    /control/rules            set one Rule, given as JSON
//	DELETE /control/rules[?link=...] end all rules, or one link's
//	GET    /control/counts           what passed over each pair
func (p *Proxy) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /control/rules", func(w http.ResponseWriter, r *http.Request) {
		var rule Rule
		decoder := json.NewDecoder(r.Body)
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&rule); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		p.Set(rule)
	})
	mux.HandleFunc("DELETE /control/rules", func(_ http.ResponseWriter, r *http.Request) {
		p.Clear(r.URL.Query().Get("link"))
	})
	mux.HandleFunc("GET /control/counts", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(p.Counts())
	})
	return mux
}
