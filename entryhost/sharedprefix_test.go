package entryhost

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/papayasail/papayasail/fake/engine"
)

const (
	prefixEngines    = 8
	crashingText     = "the text that crashes engines"
	restartAfter     = 3 * time.Second
	crashingInterval = 360 * time.Millisecond
	soundInterval    = 60 * time.Millisecond
	prefixWindow     = 3 * time.Second // after the fifth crash, until generations with the text are refused
	crashesAllowed   = 5
	startsAllowed    = 3 // of generations with the text, after that
	soundShare       = 0.9
)

// prefixService is the service shared, whose engines crash when they begin to answer a
// prompt with crashingText and start again at the same address.
type prefixService struct {
	site *site

	mu      sync.Mutex // guards all below
	closing bool
	starts  []time.Time // of generations with crashingText
	crashes []time.Time
	sound   map[time.Time]bool // by the time when it was sent: served
}

func (s *site) serveShared() *prefixService {
	p := &prefixService{site: s, sound: map[time.Time]bool{}}
	document := "service: shared\nowner: hydrology\nkind: model\nmodel: {name: basin, version: \"3\", max_tokens: 4096, idempotent: true}\nbackend_servers:\n"
	for i := range prefixEngines {
		address := fmt.Sprintf("10.0.5.%d:9000", i+1)
		document += fmt.Sprintf("  - {name: shared-%d, address: %q, failure_domain: ankara}\n", i+1, address)
		done := make(chan struct{})
		go func() {
			defer close(done)
			p.run(address)
		}()
		s.stops = append(s.stops, func() { <-done })
	}
	s.accept("shared", document)
	time.Sleep(2 * time.Second)
	return p
}

// run runs one engine after another at an address.
func (p *prefixService) run(address string) {
	for !p.closed() {
		e := engine.New(engine.Config{Models: []string{"basin@3"}, CrashingPart: crashingText, OnCrashingPrompt: p.recordStart})
		listener, err := p.site.fabric.Host(strings.Split(address, ":")[0]).Listen(address)
		p.site.is.NoErr(err)
		go func() {
			for !p.closed() && !e.Closed() {
				time.Sleep(100 * time.Millisecond)
			}
			_ = e.Close() // closed already if it has crashed
		}()
		_ = e.Serve(listener) // returns after Close
		p.mu.Lock()
		p.crashes = append(p.crashes, time.Now())
		p.mu.Unlock()
		time.Sleep(restartAfter)
	}
}

func (p *prefixService) closed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.closing
}

func (p *prefixService) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closing = true
}

func (p *prefixService) recordStart() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.starts = append(p.starts, time.Now())
}

// send sends a generation to a random host and reports whether it was served whole.
func (p *prefixService) send(prompt string) bool {
	body, err := json.Marshal(map[string]any{"prompt": prompt, "x_stop_after": 8})
	p.site.is.NoErr(err)
	url := "http://" + hostIP(rand.IntN(len(p.site.hosts))) + ":7480/v1/services/shared/generations"
	request, err := http.NewRequest(http.MethodPost, url, strings.NewReader(string(body)))
	p.site.is.NoErr(err)
	request.Header.Set("Authorization", "Bearer "+testToken)
	response, answer := p.site.do(request)
	return response.StatusCode == http.StatusOK && strings.Contains(answer, `"finish_reason":"stop"`)
}

// sendFor sends generations with prompts of the given beginning and a question of their
// own.
func (p *prefixService) sendFor(d, interval time.Duration, beginning string) {
	var group sync.WaitGroup
	for began, i := time.Now(), 0; time.Since(began) < d; i++ {
		group.Go(func() {
			at := time.Now()
			served := p.send(fmt.Sprintf("%sQuestion %d at %s", beginning, i, at))
			if !strings.Contains(beginning, crashingText) {
				p.mu.Lock()
				defer p.mu.Unlock()
				p.sound[at] = served
			}
		})
		time.Sleep(interval)
	}
	group.Wait()
}

// result returns the crashes, the starts with the text later than prefixWindow after the last
// allowed one, and the share of the sound ones that were served from twice that time.
func (p *prefixService) result() (crashes, starts int, served float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	from := p.crashes[min(len(p.crashes), crashesAllowed)-1]
	for _, at := range p.starts {
		if at.Sub(from) > prefixWindow {
			starts++
		}
	}
	sent, whole := 0, 0
	for at, ok := range p.sound {
		if at.Sub(from) > 2*prefixWindow {
			sent++
			if ok {
				whole++
			}
		}
	}
	return len(p.crashes), starts, float64(whole) / float64(max(1, sent))
}

// Guards against generations whose prompts share a beginning, no two alike, and crash one
// engine after another.
func TestPromptPrefixThatCrashesEnginesIsQuarantined(t *testing.T) {
	system, text := strings.Repeat("Answer as a hydrologist would. ", 20), strings.Repeat(crashingText+". ", 20)
	other := strings.Repeat("The level of the reservoir is falling. ", 20)
	for name, beginning := range map[string]string{"first": text + other, "middle": system + text} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSite(t, 5)
				defer s.close()
				p := s.serveShared()
				defer p.close()
				go p.sendFor(30*time.Second, crashingInterval, beginning)
				p.sendFor(30*time.Second, soundInterval, system+other)
				crashes, starts, served := p.result()
				t.Logf("%d crashes, %d started after the fifth, %.3f of the sound ones served", crashes, starts, served)
				s.is.True(starts <= startsAllowed)
				s.is.True(served >= soundShare)
			})
		})
	}
}
