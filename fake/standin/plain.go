package standin

import (
	"net/http"

	"github.com/alecthomas/kingpin/v2"

	"github.com/papayasail/papayasail/fake/plain"
)

// modes maps the mode names that PathNext accepts.
var modes = map[string]plain.Mode{
	"answer":      plain.Answer,
	"refuse":      plain.Refuse,
	"fail":        plain.Fail,
	"cross":       plain.Cross,
	"drop-before": plain.DropBefore,
	"drop-after":  plain.DropAfter,
	"late":        plain.Late,
	"truncate":    plain.Truncate,
}

func plainCommand(parser *kingpin.Application) builder {
	command := parser.Command("plain", "A plain service.")
	config := plain.Config{}
	command.Flag("name", "Name of the service.").Default("plain").StringVar(&config.Name)
	command.Flag("delay", "Duration of a call.").DurationVar(&config.Delay)
	late := command.Flag("late-by", "Additional delay of answers in mode late.").Duration()
	return func() standIn {
		p := plain.New(config)
		p.SetLateDelay(*late)
		return standIn{handler: plainHandler(p)}
	}
}

func plainHandler(p *plain.Service) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", p)
	mux.HandleFunc("GET "+PathRuns, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Runs()) })
	mux.HandleFunc("POST "+PathLeave, onOff(p.Leave))
	mux.HandleFunc("POST "+PathNext, func(w http.ResponseWriter, r *http.Request) {
		mode, known := modes[r.URL.Query().Get("mode")]
		if !known {
			http.Error(w, "unknown mode", http.StatusBadRequest)
			return
		}
		p.QueueModes(mode)
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}
