package standin

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/papayasail/papayasail/fake/network"
)

const machine = "10.0.0.1"

// start runs a stand-in on an in-memory network and returns a client for it.
func start(t *testing.T, arguments ...string) *http.Client {
	t.Helper()
	fabric := network.New(network.Options{})
	ctx, stop := context.WithCancel(context.Background())
	ready, out := io.Pipe()
	code := make(chan int, 1)
	app := App{Out: out, Err: io.Discard, Network: fabric.Host(machine)}
	go func() { code <- app.Run(ctx, append([]string{"--listen", machine + ":80"}, arguments...)) }()
	line := make([]byte, len("listening at"))
	_, err := io.ReadFull(ready, line)
	is.New(t).NoErr(err)
	go io.Copy(io.Discard, ready)
	t.Cleanup(func() {
		stop()
		is.New(t).Equal(<-code, ExitOK)
	})
	transport := &http.Transport{DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
		return fabric.Host("10.0.0.2").Dial(ctx, address)
	}}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

func do(t *testing.T, client *http.Client, method, path, body string) (int, string) {
	t.Helper()
	is := is.New(t)
	request, err := http.NewRequest(method, "http://"+machine+":80"+path, strings.NewReader(body))
	is.NoErr(err)
	response, err := client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	is.NoErr(err)
	return response.StatusCode, string(content)
}

func TestPlainSwitches(t *testing.T) {
	is := is.New(t)
	client := start(t, "plain")
	status, body := do(t, client, "POST", "/verdicts", "gate")
	is.Equal(status, http.StatusOK)
	is.Equal(body, "POST /verdicts: gate")
	status, _ = do(t, client, "POST", PathNext+"?mode=refuse", "")
	is.Equal(status, http.StatusNoContent)
	status, _ = do(t, client, "POST", "/verdicts", "gate")
	is.Equal(status, http.StatusServiceUnavailable)
	status, _ = do(t, client, "POST", PathNext+"?mode=frob", "")
	is.Equal(status, http.StatusBadRequest)
	_, runs := do(t, client, "GET", PathRuns, "")
	is.Equal(strings.Count(runs, "/verdicts"), 1)
}

func TestEngineSwitches(t *testing.T) {
	is := is.New(t)
	client := start(t, "engine", "--model", "basin@3", "--step-base", "1ms")
	start := `{"model":"basin","prompt":"p","stream":true,"generation_id":"g1","x_stop_after":3}`
	status, body := do(t, client, "POST", "/v1/completions", start)
	is.Equal(status, http.StatusOK)
	is.True(strings.Contains(body, "g1.2 "))
	_, runs := do(t, client, "GET", PathRuns, "")
	is.True(strings.Contains(runs, `"GenerationID":"g1"`))
	status, _ = do(t, client, "POST", PathLeave+"?on=true", "")
	is.Equal(status, http.StatusNoContent)
	status, _ = do(t, client, "POST", "/v1/completions", strings.Replace(start, "g1", "g2", 1))
	is.Equal(status, http.StatusServiceUnavailable)
	status, _ = do(t, client, "POST", PathReclaim+"?after=soon", "")
	is.Equal(status, http.StatusBadRequest)
}

func TestPlatformSwitches(t *testing.T) {
	is := is.New(t)
	client := start(t, "platform", "--outage")
	status, _ := do(t, client, "GET", "/objects/service/none", "")
	is.Equal(status, http.StatusServiceUnavailable)
	status, _ = do(t, client, "PUT", "/admin/faults", `{"outage":false}`)
	is.True(status < http.StatusBadRequest)
	status, _ = do(t, client, "GET", "/objects/service/none", "")
	is.Equal(status, http.StatusNotFound)
}

func TestUsage(t *testing.T) {
	is := is.New(t)
	var out, errs bytes.Buffer
	app := App{Out: &out, Err: &errs}
	is.Equal(app.Run(context.Background(), []string{"--help"}), ExitOK)
	for _, name := range []string{"platform", "engine", "plain"} {
		is.True(strings.Contains(out.String(), "\n"+name))
	}
	is.Equal(app.Run(context.Background(), []string{"frob"}), ExitUsage)
}
