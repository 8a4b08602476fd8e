package standin

import (
	"github.com/alecthomas/kingpin/v2"

	"github.com/papayasail/papayasail/platform/standin"
	"github.com/papayasail/papayasail/store"
)

func platformCommand(parser *kingpin.Application) builder {
	command := parser.Command("platform", "The platform's metadata store, in memory. Its failures can also be set by PUT "+standin.PathFaults+".")
	faults := store.Faults{}
	command.Flag("outage", "Refuse every call.").BoolVar(&faults.Outage)
	command.Flag("silent", "Accept every call and answer none.").BoolVar(&faults.Silent)
	command.Flag("slow", "Delay every call.").DurationVar(&faults.Slow)
	command.Flag("lose-answers", "Lose the answers to this many writes after they took effect.").IntVar(&faults.LoseAnswers)
	command.Flag("lose-requests", "Lose this many writes before they take effect.").IntVar(&faults.LoseRequests)
	return func() standIn {
		memory := store.NewMemory()
		memory.SetFaults(faults)
		return standIn{handler: standin.NewStore(memory)}
	}
}
