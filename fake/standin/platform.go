package standin

import (
	"github.com/alecthomas/kingpin/v2"

	fakeplatform "github.com/papayasail/papayasail/fake/platform"
	"github.com/papayasail/papayasail/store"
)

func platformCommand(parser *kingpin.Application) builder {
	command := parser.Command("platform", "The platform's object API, in memory. Its failures can also be set by PUT "+fakeplatform.PathFaults+".")
	faults := store.Faults{}
	command.Flag("outage", "Refuse every call.").BoolVar(&faults.Outage)
	command.Flag("slow", "Delay every call.").DurationVar(&faults.Slow)
	command.Flag("lose-answers", "Lose the answers of so many writes after they took effect.").IntVar(&faults.LoseAnswers)
	command.Flag("lose-requests", "Lose so many writes before they take effect.").IntVar(&faults.LoseRequests)
	return func() stand {
		memory := store.NewMemory()
		memory.SetFaults(faults)
		return stand{handler: fakeplatform.New(memory)}
	}
}
