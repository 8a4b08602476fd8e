package order

import (
	"testing"

	"github.com/matryer/is"

	"github.com/papayasail/papayasail/backend"
	"github.com/papayasail/papayasail/contract"
)

func worker(models ...string) Worker {
	return Worker{Alive: true, Responsive: true, State: backend.EngineState{Models: models}}
}

func planned(document contract.Document, workers map[string]Worker) []string {
	var orders []string
	for _, order := range Plan([]*contract.Document{&document}, workers, "north") {
		orders = append(orders, order.Server.Address+" "+order.String())
	}
	return orders
}

func TestPlan(t *testing.T) {
	document := fuzzDocument("letters", "m", 2, 1, 2, 3)
	document.Model.Version = "2"
	silent := worker()
	silent.Responsive = false
	dead := worker("m@2")
	dead.Alive = false
	for name, c := range map[string]struct {
		workers map[string]Worker
		want    []string
	}{
		"enough":                   {map[string]Worker{"w1": worker("m@2"), "w2": worker("m@2"), "w3": worker()}, nil},
		"more than enough":         {map[string]Worker{"w1": worker("m@2"), "w2": worker("m@2"), "w3": worker("m@2")}, nil},
		"old versions first":       {map[string]Worker{"w1": worker(), "w2": worker("m@1"), "w3": worker("m@1")}, []string{"w3 load m@2", "w2 load m@2"}},
		"fewest models":            {map[string]Worker{"w1": worker("x@1"), "w2": worker("m@2"), "w3": worker()}, []string{"w3 load m@2"}},
		"dead does not count":      {map[string]Worker{"w1": dead, "w2": worker("m@2"), "w3": worker()}, []string{"w3 load m@2"}},
		"silent gets no order":     {map[string]Worker{"w1": silent, "w2": worker("m@2"), "w3": worker("x@1")}, []string{"w3 load m@2"}},
		"no unload before enough":  {map[string]Worker{"w1": silent, "w2": worker("m@1", "m@2"), "w3": dead}, nil},
		"unload old":               {map[string]Worker{"w1": worker("m@1", "m@2"), "w2": worker("m@2"), "w3": worker("m@1")}, []string{"w1 unload m@1", "w3 unload m@1"}},
		"other models are not its": {map[string]Worker{"w1": worker("mm@1", "m@2"), "w2": worker("m@2", "x@1"), "w3": worker()}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(planned(document, c.workers), c.want)
		})
	}
}

func TestPlanKeepsToAllowedLinks(t *testing.T) {
	is := is.New(t)
	document := fuzzDocument("letters", "m", 1, 1, 2)
	document.Model.Version = "1"
	document.OrderLinks = []contract.OrderLink{{From: "south", BackendServers: []string{"w1"}}, {From: "north", BackendServers: []string{"w2"}}}
	workers := map[string]Worker{"w1": worker(), "w2": worker("x@1")}
	is.Equal(planned(document, workers), []string{"w2 load m@1"})
	is.Equal(Reach([]*contract.Document{&document}, "north"), 1)
	is.Equal(Reach([]*contract.Document{&document}, "west"), 0)
}

func TestPlanTwoDocumentsOneServer(t *testing.T) {
	// Guards against an unload of a version that another service requires: two
	// services use different versions of one model on one worker.
	is := is.New(t)
	a, b := fuzzDocument("letters", "m", 1, 1), fuzzDocument("replies", "m", 1, 1)
	a.Model.Version, b.Model.Version = "1", "2"
	orders := Plan([]*contract.Document{&a, &b}, map[string]Worker{"w1": worker("m@1", "m@2")}, "north")
	is.Equal(len(orders), 0)
}
