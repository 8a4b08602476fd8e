package standin

import (
	"net/http"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/papayasail/papayasail/fake/engine"
)

func engineCommand(parser *kingpin.Application) builder {
	command := parser.Command("engine", "A model engine.")
	config := engine.Config{}
	command.Flag("name", "Name of the engine.").Default("engine").StringVar(&config.Name)
	command.Flag("model", "Model loaded at start, as name@version; may be given several times.").StringsVar(&config.Models)
	command.Flag("seed", "Seed for output lengths, lost reports and lost cache events.").Default("1").Uint64Var(&config.Seed)
	batchFlags(command, &config)
	lengthFlags(command, &config)
	reportFlags(command, &config)
	orderFlags(command, &config)
	return func() standIn {
		e := engine.New(config)
		return standIn{handler: engineHandler(e), run: e.Run}
	}
}

func batchFlags(command *kingpin.CmdClause, config *engine.Config) {
	command.Flag("token-capacity", "Tokens that fit into memory; for every flag here, 0 selects the default.").IntVar(&config.TokenCapacity)
	command.Flag("max-batch", "Generations in one batch.").IntVar(&config.MaxBatch)
	command.Flag("max-waiting", "Queued generations above which new ones are refused.").IntVar(&config.MaxWaiting)
	command.Flag("step-base", "Base duration of a step.").DurationVar(&config.StepBase)
	command.Flag("step-per-running", "Additional duration of a step for each running generation.").DurationVar(&config.StepPerRunning)
	command.Flag("step-per-prefill-token", "Additional duration of a step for each prefilled token.").DurationVar(&config.StepPerPrefillToken)
}

func lengthFlags(command *kingpin.CmdClause, config *engine.Config) {
	command.Flag("median-tokens", "Median output length.").IntVar(&config.MedianTokens)
	command.Flag("length-sigma", "Sigma of the log-normal distribution of output lengths.").Float64Var(&config.LengthSigma)
	command.Flag("max-tokens", "Maximum output length in tokens.").IntVar(&config.MaxTokens)
	command.Flag("grace", "A generation without a reader is cancelled after this time.").DurationVar(&config.Grace)
	command.Flag("keep", "How long an ended generation can be resumed.").DurationVar(&config.Keep)
	command.Flag("keep-alive", "Interval of comments on an idle stream.").DurationVar(&config.KeepAlive)
}

func reportFlags(command *kingpin.CmdClause, config *engine.Config) {
	command.Flag("report-lag", "Age of load reports.").DurationVar(&config.ReportLag)
	command.Flag("report-loss", "Ratio of load requests refused, 0 to 1.").Float64Var(&config.ReportLoss)
	command.Flag("cache-tokens", "Capacity of the prompt prefix cache in tokens.").IntVar(&config.CacheTokens)
	command.Flag("cache-lag", "Delay until cache events are published.").DurationVar(&config.CacheLag)
	command.Flag("cache-loss", "Ratio of cache events dropped, 0 to 1.").Float64Var(&config.CacheLoss)
}

func orderFlags(command *kingpin.CmdClause, config *engine.Config) {
	command.Flag("load-time", "Duration of loading or unloading a model.").DurationVar(&config.LoadTime)
	command.Flag("honour-fence", "Refuse orders with a stale fencing number.").BoolVar(&config.HonourFence)
	command.Flag("order-token", "Bearer token required for orders.").StringVar(&config.OrderToken)
}

func engineHandler(e *engine.Engine) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", e)
	mux.HandleFunc("GET "+PathRuns, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Runs()) })
	mux.HandleFunc("GET "+PathCounters, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Counters()) })
	mux.HandleFunc("POST "+PathLeave, onOff(e.Leave))
	mux.HandleFunc("POST "+PathPause, onOff(e.Pause))
	mux.HandleFunc("POST "+PathReclaim, func(w http.ResponseWriter, r *http.Request) {
		after, err := time.ParseDuration(r.URL.Query().Get("after"))
		if err != nil {
			http.Error(w, "want ?after=10s", http.StatusBadRequest)
			return
		}
		e.Reclaim(after)
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}
