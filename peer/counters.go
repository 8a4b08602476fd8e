package peer

import (
	"net"

	"github.com/prometheus/client_golang/prometheus"
)

// counters holds the metrics of the peer protocol.
type counters struct {
	bytes        *prometheus.CounterVec // by direction: in, out
	forwardBytes *prometheus.CounterVec // payload of forwards and hand-overs within bytes
	probes       *prometheus.CounterVec // by result: answered, fresh_connection, indirect, failed
	suspicions   *prometheus.CounterVec // by result: raised, unconfirmed, refuted, gone
	pulls        *prometheus.CounterVec // by result: adopted, nothing, failed
	syncs        *prometheus.CounterVec // by result: done, failed
	pushes       prometheus.Counter     // early probes for urgent updates
	deliveries   *prometheus.CounterVec // by result: confirmed, retried, missed, gap
	connections  prometheus.Gauge       // open, both directions
}

func newCounters(registerer prometheus.Registerer) *counters {
	vec := func(name, help, label string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Name: "papayasail_peer_" + name, Help: help}, []string{label})
	}
	c := &counters{
		bytes:        vec("bytes_total", "Bytes on connections between entry hosts.", "direction"),
		forwardBytes: vec("forward_bytes_total", "Payload bytes of forwarded requests and hand-overs.", "direction"),
		probes:       vec("probes_total", "Probes of other entry hosts.", "result"),
		suspicions:   vec("suspicions_total", "Suspicions of other entry hosts.", "result"),
		pulls:        vec("pulls_total", "Pulls of configuration from other entry hosts.", "result"),
		syncs:        vec("syncs_total", "Full membership syncs.", "result"),
		deliveries:   vec("deliveries_total", "Deliveries of changed configuration to other entry hosts; gap counts received ones.", "result"),
		pushes:       prometheus.NewCounter(prometheus.CounterOpts{Name: "papayasail_peer_pushes_total", Help: "Probes sent early for urgent updates."}),
		connections:  prometheus.NewGauge(prometheus.GaugeOpts{Name: "papayasail_peer_connections", Help: "Open connections between entry hosts."}),
	}
	registerer.MustRegister(c.bytes, c.forwardBytes, c.probes, c.suspicions, c.pulls, c.syncs, c.pushes, c.deliveries, c.connections)
	return c
}

// countedConn counts the bytes of one connection.
type countedConn struct {
	net.Conn
	counters *counters
	in, out  prometheus.Counter
	closed   chan struct{}
}

func (c *counters) wrap(conn net.Conn) net.Conn {
	c.connections.Inc()
	return &countedConn{
		Conn:     conn,
		counters: c,
		in:       c.bytes.WithLabelValues("in"),
		out:      c.bytes.WithLabelValues("out"),
		closed:   make(chan struct{}, 1),
	}
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.in.Add(float64(n))
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.out.Add(float64(n))
	return n, err
}

func (c *countedConn) Close() error {
	select {
	case c.closed <- struct{}{}:
		c.counters.connections.Dec()
	default: // closed already
	}
	return c.Conn.Close()
}

// countedListener counts the bytes of accepted connections.
type countedListener struct {
	net.Listener
	counters *counters
}

func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.counters.wrap(conn), nil
}
