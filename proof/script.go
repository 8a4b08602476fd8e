package proof

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/papayasail/papayasail/contract"
	"github.com/papayasail/papayasail/fake/plain"
	"github.com/papayasail/papayasail/store"
)

const pollEvery = 10 * time.Millisecond // virtual

// Script executes a scenario in its own world, one step per line. The steps:
//
//	narrative NAME tokens=N at HOST            send a new request
//	letter NAME tokens=N at HOST home HOST     send a new request
//	verdict NAME at HOST home HOST             send a new request
//	reading NAME at HOST                       send a new request
//	prepare KIND NAME ... at HOST home HOST    create a request and its key without sending it
//	repeat NAME at HOST                        send the request with the same key
//	reuse NAME as OTHER at HOST                send a different request with the same key
//	resume NAME at HOST                        resume the stream with Last-Event-ID
//	abandon NAME                               close the caller's connections
//	wait 2s | await                            wait for a duration, or until all attempts have ended
//	until NAME has N tokens | until NAME runs  wait for progress
//	kill M | start M                           kill or start the process of a machine
//	freeze M | thaw M                          stop or resume the network of a machine, to simulate SIGSTOP
//	stop HOST | restart HOST                   stop or restart gracefully
//	cut M M | silence M M | stall M M | heal   inject link faults, or end them
//	silence-open M M                           silence the open connections only
//	cross M N | cross-chunks M | skip M        corrupt an engine's next responses
//	spoil M MODE                               make a plain service's next call fail
//	pause M | unpause M                        pause or continue an engine's steps
//	drain M at HOST | leave M | reclaim M 5s   make a backend server drain or leave
//	store out | store in                       start or end an outage of the platform's store
//	mark | new work on M                       count the work that starts on M after mark
//	quick NAME 2s                              check that the last attempt ended within 2s
//
// The key of a letter or verdict is created for the home host that the step names,
// or for the host that the request is sent to.
//
// A machine M is named host-1, engine-1, plain-1, caller, or "server-of NAME" for
// the first backend server whose newest incarnation has run the request.
type Script struct {
	world      *World
	requests   map[string]*Request
	names      []string
	sentAtMark map[string]int // result of sentTo for each server at the mark
	output     strings.Builder
}

// NewScript returns a script that runs in world w.
func NewScript(w *World) *Script { return &Script{world: w, requests: map[string]*Request{}} }

// Play executes the steps and returns the results of all requests.
func (s *Script) Play(steps string) string {
	for _, line := range strings.Split(strings.TrimSpace(steps), "\n") {
		if err := s.step(strings.Fields(line)); err != nil {
			fmt.Fprintf(&s.output, "%s: %v\n", line, err)
		}
	}
	s.world.AwaitCallers()
	s.report()
	return s.output.String()
}

// report writes, for each request, how its attempts ended and how often it ran,
// followed by the violations that the oracle found.
func (s *Script) report() {
	violations := s.world.Oracle.Check()
	for _, name := range s.names {
		r := s.requests[name]
		var ends []string
		for _, a := range r.attempts {
			ends = append(ends, s.hostName(a.Host)+": "+a.result())
		}
		fmt.Fprintf(&s.output, "%s: %s; ran %s\n", name, strings.Join(ends, ", "), formatTimes(s.world.runCount(r.Body)))
	}
	for _, violation := range violations {
		fmt.Fprintf(&s.output, "INVARIANT VIOLATED: %s\n", violation)
	}
}

func formatTimes(n int) string {
	switch n {
	case 0:
		return "never"
	case 1:
		return "once"
	}
	return strconv.Itoa(n) + " times"
}

// result returns a description of how the attempt ended. Call it after the end
// of the attempt.
func (a *Attempt) result() string {
	switch {
	case a.Outcome == contract.OutcomeDone && a.from > 0:
		return "rest done"
	case a.Outcome == contract.OutcomeDone:
		return "done"
	case a.Reason == "":
		return "connection lost"
	}
	return fmt.Sprintf("%s (%s)", a.Outcome, a.Reason)
}

func (s *Script) hostName(address string) string {
	for _, slot := range s.world.Hosts {
		if slot.Address() == address {
			return slot.Name
		}
	}
	return address
}

// step executes one line.
func (s *Script) step(words []string) error {
	words, err := s.resolve(words)
	if err != nil {
		return err
	}
	for _, play := range []func([]string) (bool, error){s.requestStep, s.waitStep, s.processStep, s.linkStep, s.serverStep} {
		if done, err := play(words); done || err != nil {
			return err
		}
	}
	return fmt.Errorf("unknown step")
}

// resolve replaces "server-of NAME" with the server that serverOf returns.
func (s *Script) resolve(words []string) ([]string, error) {
	at := slices.Index(words, "server-of")
	if at < 0 {
		return words, nil
	}
	server := s.serverOf(s.requests[words[at+1]])
	if server == "" {
		return nil, fmt.Errorf("no backend server runs the request")
	}
	return slices.Replace(slices.Clone(words), at, at+2, server), nil
}

// serverOf returns the first backend server whose newest incarnation has run the
// request, or "" if there is none.
func (s *Script) serverOf(r *Request) string {
	for _, slot := range s.world.Engines {
		if slot.Engine().RunsOf(r.Body) > 0 {
			return slot.Name
		}
	}
	for _, slot := range s.world.Plains {
		if slot.Service().RunsOf(r.Body) > 0 {
			return slot.Name
		}
	}
	return ""
}

// wordAfter returns the word that follows a keyword, or "" if there is none.
func wordAfter(words []string, keyword string) string {
	if at := slices.Index(words, keyword); at >= 0 && at+1 < len(words) {
		return words[at+1]
	}
	return ""
}

func (s *Script) host(name string) *HostSlot {
	for _, slot := range s.world.Hosts {
		if slot.Name == name {
			return slot
		}
	}
	return s.world.Hosts[0]
}

func (s *Script) engine(name string) *EngineSlot {
	for _, slot := range s.world.Engines {
		if slot.Name == name {
			return slot
		}
	}
	return nil
}

func (s *Script) plain(name string) *PlainSlot {
	for _, slot := range s.world.Plains {
		if slot.Name == name {
			return slot
		}
	}
	return nil
}

func (s *Script) ip(name string) string {
	if name == "caller" {
		return CallerIP
	}
	if e := s.engine(name); e != nil {
		return e.IP
	}
	if p := s.plain(name); p != nil {
		return p.IP
	}
	return s.host(name).IP
}

var kinds = map[string]Kind{"narrative": Narrative, "letter": Letter, "verdict": Verdict, "reading": Reading}

func (s *Script) requestStep(words []string) (bool, error) {
	at := s.host(wordAfter(words, "at"))
	if kind, ok := kinds[words[0]]; ok {
		err := s.newRequest(kind, words, at)
		if err == nil {
			s.world.Send(s.requests[words[1]], at)
		}
		return true, err
	}
	switch words[0] {
	case "prepare":
		return true, s.newRequest(kinds[words[1]], words[1:], at)
	case "repeat":
		s.world.Send(s.requests[words[1]], at)
	case "reuse":
		a := s.world.SendChanged(s.requests[words[1]], at)
		s.add(wordAfter(words, "as"), a.Request)
	case "resume":
		if s.world.Resume(s.requests[words[1]], at) == nil {
			return true, fmt.Errorf("no token received yet")
		}
	case "abandon":
		for _, a := range s.requests[words[1]].attempts {
			a.Abandon()
		}
	default:
		return false, nil
	}
	return true, nil
}

func (s *Script) newRequest(kind Kind, words []string, at *HostSlot) error {
	tokens := 0
	for _, word := range words {
		if text, ok := strings.CutPrefix(word, "tokens="); ok {
			tokens, _ = strconv.Atoi(text)
		}
	}
	home := at
	if name := wordAfter(words, "home"); name != "" {
		home = s.host(name)
	}
	r, err := s.world.NewRequest(kind, tokens, at, home)
	if err != nil {
		return err
	}
	s.add(words[1], r)
	return nil
}

func (s *Script) add(name string, r *Request) {
	s.requests[name] = r
	s.names = append(s.names, name)
}

func (s *Script) waitStep(words []string) (bool, error) {
	switch words[0] {
	case "wait":
		return true, s.wait(words[1])
	case "await":
		s.world.AwaitCallers()
	case "until":
		return true, s.until(words)
	case "quick":
		limit, err := time.ParseDuration(words[2])
		attempts := s.requests[words[1]].attempts
		if took := attempts[len(attempts)-1].Elapsed; err == nil && took > limit {
			err = fmt.Errorf("took %s", took)
		}
		return true, err
	case "mark":
		s.mark()
	case "new":
		s.newWork(words[3])
	default:
		return false, nil
	}
	return true, nil
}

func (s *Script) wait(text string) error {
	d, err := time.ParseDuration(text)
	time.Sleep(d)
	return err
}

// until waits for the progress of a request, for at most one minute.
func (s *Script) until(words []string) error {
	r := s.requests[words[1]]
	want := 0
	if words[2] == "has" {
		want, _ = strconv.Atoi(words[3])
	}
	for range time.Minute / pollEvery {
		if want > 0 && s.world.Oracle.receivedTokens(r) >= want || want == 0 && s.world.runCount(r.Body) > 0 {
			return nil
		}
		time.Sleep(pollEvery)
	}
	return fmt.Errorf("condition not reached within a minute")
}

// newWork writes by how much the result of sentTo for a server has grown since the
// mark.
func (s *Script) newWork(name string) {
	fmt.Fprintf(&s.output, "new work there: %d\n", s.sentTo(name)-s.sentAtMark[name])
}

// sentTo returns the number of requests that have reached the newest incarnation
// of a server. For an engine it includes refused starts; for a plain service only
// calls that ran count.
func (s *Script) sentTo(name string) int {
	if e := s.engine(name); e != nil {
		counters := e.Engine().Counters()
		return int(counters.Started + counters.RefusedStarts)
	}
	if p := s.plain(name); p != nil {
		return len(p.Service().Runs())
	}
	return 0
}

// mark records the result of sentTo for each server.
func (s *Script) mark() {
	s.sentAtMark = map[string]int{}
	for _, slot := range s.world.Engines {
		s.sentAtMark[slot.Name] = s.sentTo(slot.Name)
	}
	for _, slot := range s.world.Plains {
		s.sentAtMark[slot.Name] = s.sentTo(slot.Name)
	}
}

func (s *Script) processStep(words []string) (bool, error) {
	if len(words) < 2 {
		return false, nil
	}
	name := words[1]
	e, p := s.engine(name), s.plain(name)
	switch words[0] {
	case "kill":
		switch {
		case e != nil:
			e.Kill()
		case p != nil:
			p.Kill()
		default:
			s.host(name).Kill()
		}
	case "start":
		switch {
		case e != nil:
			return true, e.Start()
		case p != nil:
			return true, p.Start()
		}
		return true, s.host(name).Start()
	case "freeze":
		s.world.Fabric.Freeze(s.ip(name))
	case "thaw":
		s.world.Fabric.Thaw(s.ip(name))
	case "stop":
		s.host(name).Stop()
	case "restart":
		s.host(name).Restart()
	default:
		return false, nil
	}
	return true, nil
}

func (s *Script) linkStep(words []string) (bool, error) {
	links := map[string]func(a, b string){
		"cut": s.world.Fabric.Cut, "silence": s.world.Fabric.Silence,
		"silence-open": s.world.Fabric.SilenceOpenConnections, "stall": s.world.Fabric.Stall,
	}
	if do, ok := links[words[0]]; ok {
		do(s.ip(words[1]), s.ip(words[2]))
		return true, nil
	}
	switch words[0] {
	case "heal":
		s.world.Fabric.HealAll()
	case "store":
		s.world.Store.SetFaults(store.Faults{Outage: words[1] == "out"})
	default:
		return false, nil
	}
	return true, nil
}

var callFaultModes = map[string]plain.Mode{
	"refuse": plain.Refuse, "fail": plain.Fail, "cross": plain.Cross, "drop-before": plain.DropBefore,
	"drop-after": plain.DropAfter, "late": plain.Late, "truncate": plain.Truncate,
}

func (s *Script) serverStep(words []string) (bool, error) {
	if words[0] == "drain" {
		return true, s.drain(words)
	}
	if p := s.plain(words[1]); p != nil {
		return s.plainStep(words, p)
	}
	slot := s.engine(words[1])
	if slot == nil {
		return false, nil
	}
	e := slot.Engine()
	switch words[0] {
	case "cross":
		n, err := strconv.Atoi(words[2])
		e.CrossAnswers(n)
		return true, err
	case "cross-chunks":
		e.CrossChunks(1)
	case "skip":
		e.SkipChunks(1)
	case "pause", "unpause":
		e.Pause(words[0] == "pause")
	case "leave":
		e.Leave(true)
	case "reclaim":
		d, err := time.ParseDuration(words[2])
		e.Reclaim(d)
		return true, err
	default:
		return false, nil
	}
	return true, nil
}

func (s *Script) plainStep(words []string, p *PlainSlot) (bool, error) {
	switch words[0] {
	case "spoil":
		p.Service().SetLateDelay(15 * time.Second)
		p.Service().QueueModes(callFaultModes[words[2]])
	case "leave":
		p.Service().Leave(true)
	default:
		return false, nil
	}
	return true, nil
}

func (s *Script) drain(words []string) error {
	addresses := s.world.backendAddresses()
	at := slices.IndexFunc(addresses, func(address string) bool { return strings.HasPrefix(address, s.ip(words[1])+":") })
	if !s.world.drain(s.host(wordAfter(words, "at")), at, false) {
		return fmt.Errorf("refused")
	}
	return nil
}
