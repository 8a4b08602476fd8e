package contract

import (
	"testing"

	"github.com/matryer/is"
)

func TestCallIdempotentLongestPrefixDecides(t *testing.T) {
	is := is.New(t)
	d := &Document{Calls: []CallRule{
		{Method: "POST", PathPrefix: "/gauges", Idempotent: true},
		{Method: "*", PathPrefix: "/gauges/alarms", Idempotent: false},
	}}
	is.True(d.CallIdempotent("POST", "/gauges/read"))
	is.True(!d.CallIdempotent("POST", "/gauges/alarms/ack"))
	is.True(d.CallIdempotent("GET", "/other"))
	is.True(!d.CallIdempotent("POST", "/other"))
}

func TestAllowsOrders(t *testing.T) {
	is := is.New(t)
	open, checked := BackendServer{Name: "w1"}, BackendServer{Name: "w2", ChecksOrders: true}
	d := &Document{}
	is.True(!d.AllowsOrders("north", open)) // no authentication, and no link is listed
	is.True(d.AllowsOrders("north", checked))
	d.OrderLinks = []OrderLink{{From: "north", BackendServers: []string{"w1", "w2"}}}
	is.True(d.AllowsOrders("north", open))
	is.True(!d.AllowsOrders("south", open))
	is.True(!d.AllowsOrders("south", checked))
}
