package control

import (
	"flag"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
)

var slopes = flag.String("slopes", "", "measure slopes: quick or full; writes JSON to the file named by -slopes.json")
var slopesPartitions = flag.String("slopes.cuts", "", "fleet sizes to partition, comma separated; apart from that only 7 hosts are measured")
var slopesHosts = flag.String("slopes.hosts", "", "fleet sizes, comma separated; no fleet is partitioned")
var slopesOrganisations = flag.Int("slopes.organisations", 0, "number of organisations in each document; only 25 hosts are measured")
var slopesJSON = flag.String("slopes.json", "", "file for the JSON report")

// BenchmarkSlopes prints the tables of docs/CAPACITY.md.
func BenchmarkSlopes(t *testing.B) {
	if *slopes == "" {
		t.Fatal("run with -slopes=quick or -slopes=full")
	}
	options := Options{Quick: *slopes == "quick", Progress: os.Stderr}
	options.Hosts = numbers(*slopesHosts)
	if options.Disruptions = numbers(*slopesPartitions); options.Disruptions != nil {
		options.Hosts, options.Workers = []int{7}, []int{12}
		options.Settle, options.Steady, options.Changes = 20*time.Second, 5*time.Second, 2
	}
	if *slopesOrganisations > 0 {
		options.Organisations, options.Hosts, options.Workers = *slopesOrganisations, []int{25}, []int{600}
		options.Settle, options.Steady = 20*time.Second, 5*time.Second
	}
	report, err := Run(t.Context(), options)
	if err != nil {
		t.Fatal(err)
	}
	if err := report.WriteTable(os.Stdout); err != nil {
		t.Fatal(err)
	}
	if *slopesJSON == "" {
		return
	}
	file, err := os.Create(*slopesJSON)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	if err := report.WriteJSON(file); err != nil {
		t.Fatal(err)
	}
}

// numbers parses a comma-separated list and skips fields that are not numbers.
func numbers(text string) (list []int) {
	for _, field := range strings.Split(text, ",") {
		if number, err := strconv.Atoi(field); err == nil {
			list = append(list, number)
		}
	}
	return list
}
