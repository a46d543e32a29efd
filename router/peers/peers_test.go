package peers

import (
	"context"
	"crypto/tls"
	"net"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"mangolug.org/core/fleet"
	"mangolug.org/router/wire"
)

const (
	oldSecret   = "the fleet's old secret"
	newSecret   = "the fleet's new secret"
	otherSecret = "another fleet's secret"
	// awaitTimeout is the longest time that a test waits for an event.
	awaitTimeout = 10 * time.Second
)

// listen starts a peer named b. It returns its address, a channel with the sender of each message received, and its counters.
func listen(t *testing.T, secrets ...string) (string, chan string, metrics.Registry) {
	t.Helper()
	trust, err := NewTrust("b", secrets, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	arrived := make(chan string, 64)
	registry := metrics.NewRegistry()
	l := &Listener{Trust: trust, Metrics: registry, Receive: func(from string, _ *fleet.Message) { arrived <- from }}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if err := l.Serve(ctx, socket); err != nil {
			t.Error(err)
		}
	}()
	t.Cleanup(func() { cancel(); <-ended })
	return socket.Addr().String(), arrived, registry
}

// openAndSend connects to b as a and sends a heartbeat on each stream until the test ends; opened gets an item for each stream.
func openAndSend(t *testing.T, address, peer string, secrets ...string) (opened chan string, links *Links) {
	t.Helper()
	opened = make(chan string, 64)
	links = openLinks(t, address, peer, func(links *Links) {
		links.Send(peer, wire.Encode(&fleet.Message{Heartbeat: &fleet.Heartbeat{}}))
		select {
		case opened <- peer:
		default:
		}
	}, secrets...)
	return opened, links
}

// openLinks connects to a peer as a until the test ends and calls open for each stream.
func openLinks(t *testing.T, address, peer string, open func(links *Links), secrets ...string) *Links {
	t.Helper()
	trust, err := NewTrust("a", secrets, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	links := &Links{Trust: trust, Metrics: metrics.NewRegistry()}
	links.PeerConnected = func(string) { open(links) }
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	links.Set(ctx, map[string]string{peer: address})
	return links
}

func counterIsSet(registry metrics.Registry, name string) func() bool {
	return func() bool { return metrics.GetOrRegisterCounter(name, registry).Count() > 0 }
}

func await(t *testing.T, what string, arrived func() bool) {
	t.Helper()
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	limit := time.After(awaitTimeout)
	for !arrived() {
		select {
		case <-ticker.C:
		case <-limit:
			t.Fatalf("waited %v for %s", awaitTimeout, what)
		}
	}
}

func TestTrust(t *testing.T) {
	cases := map[string]struct {
		listener, dialer []string
		peer             string
		failure          string // empty when the peer is trusted
	}{
		"same secret":               {[]string{oldSecret}, []string{oldSecret}, "b", ""},
		"rotation, new is accepted": {[]string{oldSecret, newSecret}, []string{newSecret, oldSecret}, "b", ""},
		"rotation, half done":       {[]string{oldSecret, newSecret}, []string{oldSecret}, "b", ""},
		"other fleet":               {[]string{oldSecret}, []string{otherSecret}, "b", "certificate signed by unknown authority"},
		"wrong name":                {[]string{oldSecret}, []string{oldSecret}, "c", "certificate is valid for b, not c"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			address, arrived, _ := listen(t, c.listener...)
			opened, links := openAndSend(t, address, c.peer, c.dialer...)
			if c.failure != "" {
				await(t, "the link to fail", counterIsSet(links.Metrics, "peers.linkLost"))
				await(t, "the failure", func() bool { return links.Failures()[c.peer] != "" })
				if why := links.Failures()[c.peer]; why != c.failure {
					t.Errorf("the link failed for %q, want %q", why, c.failure)
				}
				select {
				case from := <-arrived:
					t.Errorf("a message from %s was received", from)
				case <-opened:
					t.Error("the link was opened")
				default:
				}
				return
			}
			select {
			case from := <-arrived:
				if from != "a" {
					t.Errorf("message is from %q, want a", from)
				}
			case <-time.After(awaitTimeout):
				t.Fatal("no message arrived")
			}
			if len(links.Failures()) > 0 {
				t.Errorf("an open link has a failure: %v", links.Failures())
			}
		})
	}
}

func TestFailureWhenNobodyListens(t *testing.T) {
	_, links := openAndSend(t, "127.0.0.1:1", "b", oldSecret)
	await(t, "the failure", func() bool { return links.Failures()["b"] == "connection refused" })
}

func TestStrangerWithoutCertificate(t *testing.T) {
	address, arrived, _ := listen(t, oldSecret)
	c, err := tls.Dial("tcp", address, &tls.Config{InsecureSkipVerify: true, NextProtos: []string{"h2"}})
	if err == nil { // with TLS 1.3 the client sees the rejection only when it reads
		c.SetReadDeadline(time.Now().Add(awaitTimeout))
		_, err = c.Read(make([]byte, 1))
		c.Close()
	}
	if err == nil {
		t.Error("a client without a certificate was served")
	}
	if len(arrived) > 0 {
		t.Error("a message was received from a client without a certificate")
	}
}

func TestMalformedMessageIsRefused(t *testing.T) {
	address, arrived, registry := listen(t, oldSecret)
	openLinks(t, address, "b", func(links *Links) { links.Send("b", &wire.Envelope{}) }, oldSecret)
	await(t, "the refusal", counterIsSet(registry, "peers.refusedMessage"))
	if len(arrived) > 0 {
		t.Error("an envelope without a body was received")
	}
}

// TestUnknownBodyIsSkipped sends bodies that only a later version knows, and then a heartbeat on the same stream.
func TestUnknownBodyIsSkipped(t *testing.T) {
	address, arrived, registry := listen(t, oldSecret)
	later := &wire.Envelope{Incarnation: 1}
	later.ProtoReflect().SetUnknown(protowire.AppendBytes(protowire.AppendTag(nil, 99, protowire.BytesType), []byte("later")))
	opened := 0
	links := openLinks(t, address, "b", func(links *Links) {
		if opened++; opened == 1 {
			links.Send("b", later)
			links.Send("b", later)
			links.Send("b", wire.Encode(&fleet.Message{Heartbeat: &fleet.Heartbeat{}}))
		}
	}, oldSecret)
	await(t, "the heartbeat", func() bool { return len(arrived) > 0 || counterIsSet(links.Metrics, "peers.linkLost")() })
	if len(arrived) != 1 || counterIsSet(links.Metrics, "peers.linkLost")() {
		t.Errorf("%d messages were received, want 1; link failures: %v", len(arrived), links.Failures())
	}
	for name, want := range map[string]int64{"peers.unknownMessage": 2, "peers.refusedMessage": 0} {
		if got := metrics.GetOrRegisterCounter(name, registry).Count(); got != want {
			t.Errorf("%s is %d, want %d", name, got, want)
		}
	}
}

// earlierVersion is a router of an earlier version, which does not restore omitted fields.
type earlierVersion struct {
	wire.UnimplementedLinkServer
	teams chan string
}

func (e *earlierVersion) Send(stream grpc.ClientStreamingServer[wire.Envelope, wire.Closed]) error {
	for {
		envelope, err := stream.Recv()
		if err != nil {
			return err
		}
		m, err := wire.Decode(envelope)
		if err != nil {
			return err
		}
		e.teams <- m.Demand.Waiting[0].Team
	}
}

func demand() *fleet.Message {
	return &fleet.Message{Incarnation: 7, Demand: &fleet.Demand{
		Cell: fleet.Cell{Product: "stain-llm"}, Waiting: []fleet.TeamDemand{{Team: "carpenters", Waiting: 1}},
	}}
}

// sendDemands sends the same demand to b three times.
func sendDemands(t *testing.T, address string) *Links {
	t.Helper()
	return openLinks(t, address, "b", func(links *Links) {
		for range 3 {
			links.Send("b", wire.Encode(demand()))
		}
	}, oldSecret)
}

func TestEarlierVersionGetsAllWhole(t *testing.T) {
	trust, err := NewTrust("b", []string{oldSecret}, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &earlierVersion{teams: make(chan string, 64)}
	server := grpc.NewServer(grpc.Creds(credentials.NewTLS(trust.serverConfig())))
	wire.RegisterLinkServer(server, e)
	go func() { _ = server.Serve(socket) }()
	t.Cleanup(server.Stop)
	links := sendDemands(t, socket.Addr().String())
	await(t, "the demands", func() bool { return len(e.teams) >= 3 || links.Failures()["b"] != "" })
	if why := links.Failures()["b"]; why != "" || len(e.teams) != 3 {
		t.Errorf("%d of 3 demands were received; the link failed for %q", len(e.teams), why)
	}
}

func TestSameVersionGetsEachNameOnce(t *testing.T) {
	address, arrived, _ := listen(t, oldSecret)
	links := sendDemands(t, address)
	sent := metrics.GetOrRegisterCounter("sentBytes.demand", links.Metrics)
	await(t, "the demands", func() bool { return len(arrived) == 3 })
	full := int64(proto.Size(wire.Encode(demand())))
	await(t, "a shortened demand", func() bool {
		before, received := sent.Count(), len(arrived)
		links.Send("b", wire.Encode(demand()))
		await(t, "the next demand", func() bool { return len(arrived) > received })
		return sent.Count()-before <= full/2
	})
}

func TestShortSecretIsRefused(t *testing.T) {
	for name, secrets := range map[string][]string{"none": nil, "short": {"short"}, "second short": {oldSecret, "short"}} {
		if _, err := NewTrust("a", secrets, time.Now()); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}
