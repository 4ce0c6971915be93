package testcluster

import (
	"encoding/json"
	"fmt"
	"math"
	"os"
	"strings"

	"tealpath/internal/emulator/relay"
)

// RouterConfig holds the values in a router's configuration file that experiments choose.
type RouterConfig struct {
	Name           string
	Listen         string
	Seed           string // hexadecimal
	Cores          float64
	MemoryMB       int
	MaxSockets     int
	Discovery      string          // address of the discovery service
	WatchEvents    json.RawMessage // watch events that the router knows at its start; nil is none
	Routers        int             // number of routers, according to the settings
	HealthChecks   bool            // the settings allow health checks, and caches report their load
	WarmUpDuration int             // how long a cache that has just started is warming up, in s
}

// routerFile is the layout of a router's configuration file.
type routerFile struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Seed      string          `json:"seed"`
	Limits    processLimits   `json:"limits"`
	Discovery string          `json:"journal"`
	Events    json.RawMessage `json:"known"`
	Settings  routerSettings  `json:"settings"`
}

type processLimits struct {
	Cores      float64 `json:"cores"`
	MemoryMB   int     `json:"memory_mb"`
	MaxSockets int     `json:"sockets"`
}

type routerSettings struct {
	Routers        int            `json:"balancers"`
	Location       string         `json:"locality"`
	FailureDomains []string       `json:"failureDomains"`
	MachineTypes   []string       `json:"machineTypes"`
	Family         familySettings `json:"familyInfo"`
	Limits         requestLimits  `json:"limits"`
	LoadReport     *loadReport    `json:"report,omitempty"`
	Obligations    obligations    `json:"obligations"`
	Profiles       []requestClass `json:"profiles"`
}

type familySettings struct {
	RoutersByLocation []int `json:"zoneBalancers"`
	PurgeSeconds      int   `json:"purgeTakesS"`
}

type requestLimits struct {
	MaxAttempts           int     `json:"attemptsCap"`
	Cancel                bool    `json:"cancel"`
	HealthChecks          bool    `json:"mayProbe,omitempty"`
	Hedging               bool    `json:"secondCopies"`
	RetryAfter            bool    `json:"retryAfter"`
	MaxRetryAfterSeconds  float64 `json:"maxRetryAfterS"`
	DialTimeoutSeconds    float64 `json:"dialTimeoutS"`
	IdleTimeoutSeconds    int     `json:"connIdleS"`
	RequestsPerConnection int     `json:"streamsPerConn"`
	MaxRequests           int     `json:"maxOpen"`
}

type loadReport struct {
	Fields []string `json:"fields"`
}

type obligations struct {
	AnswerGraceSeconds float64 `json:"graceToAnswerS"`
	InitialShare       float64 `json:"coldFrom"`
	WarmUpSeconds      int     `json:"warmUpS"`
	OverloadFactor     float64 `json:"overloadFactor"`
	OverloadSeconds    float64 `json:"fallS"`
}

type requestClass struct {
	Name             string  `json:"name"`
	ObjectiveSeconds float64 `json:"onTimeS"`
	DeadlineSeconds  float64 `json:"deadlineS"`
	Weight           int     `json:"points"`
	Effect           string  `json:"effect"`
	KeyScope         string  `json:"keyScope"`
}

// Write writes the configuration as JSON to a file that only its owner can read.
func (r RouterConfig) Write(path string) error {
	raw, err := json.Marshal(routerFile{
		Name:   r.Name,
		Listen: r.Listen,
		Seed:   r.Seed,
		Limits: processLimits{
			Cores:      math.Round(r.Cores*1000) / 1000,
			MemoryMB:   r.MemoryMB,
			MaxSockets: r.MaxSockets,
		},
		Discovery: r.Discovery,
		Events:    r.WatchEvents,
		Settings:  r.settings(),
	})
	if err != nil {
		return err
	}
	return os.WriteFile(path, raw, 0o600)
}

func (r RouterConfig) settings() routerSettings {
	settings := routerSettings{
		Routers:        r.Routers,
		Location:       "here",
		FailureDomains: []string{"here"},
		MachineTypes:   []string{"cache"},
		Family:         familySettings{RoutersByLocation: []int{r.Routers}, PurgeSeconds: 6},
		Limits: requestLimits{
			MaxAttempts:           6,
			Cancel:                true,
			HealthChecks:          r.HealthChecks,
			Hedging:               true,
			RetryAfter:            true,
			MaxRetryAfterSeconds:  0.5,
			DialTimeoutSeconds:    0.4,
			IdleTimeoutSeconds:    30,
			RequestsPerConnection: 100,
			MaxRequests:           1000,
		},
		Obligations: obligations{
			AnswerGraceSeconds: 0.008,
			InitialShare:       0.16,
			WarmUpSeconds:      r.WarmUpDuration,
			OverloadFactor:     2.5,
			OverloadSeconds:    1.5,
		},
		Profiles: []requestClass{{
			Name:             "stills",
			ObjectiveSeconds: 0.4,
			DeadlineSeconds:  1.2,
			Weight:           1,
			Effect:           "retryable",
			KeyScope:         "all",
		}},
	}
	if r.HealthChecks {
		settings.LoadReport = &loadReport{Fields: []string{"inflight", "x1", "x0"}}
	}
	return settings
}

// writeFiles writes an instance's configuration and its operator's file.
func (c *Cluster) writeFiles(name string) error {
	address, err := FreeAddress()
	if err != nil {
		return err
	}
	c.instances[name].clientAddress = address
	config := RouterConfig{
		Name:           name,
		Listen:         address,
		Seed:           "07",
		Cores:          c.coresPerInstance(),
		MemoryMB:       c.MemoryMB,
		MaxSockets:     c.MaxSockets,
		Discovery:      c.Discovery.Address(),
		Routers:        c.Instances,
		HealthChecks:   true,
		WarmUpDuration: 17,
	}
	if !c.WithoutEndpointList {
		config.WatchEvents = json.RawMessage(c.Discovery.KnownEvents())
	}
	if err := config.Write(c.Path(name, ".json")); err != nil {
		return err
	}
	return c.WriteOperatorFile(name)
}

// coresPerInstance returns the number of cores that an instance may use.
func (c *Cluster) coresPerInstance() float64 {
	if c.ShareCore {
		return 1 / float64(c.Instances)
	}
	return 1
}

// WriteOperatorFile writes an instance's operator's file with the cluster's current options and voters.
func (c *Cluster) WriteOperatorFile(name string) error {
	path := c.Path(name, ".sx")
	if c.OperatorFile != "" {
		return os.WriteFile(path, fmt.Appendf(nil, c.OperatorFile, name+".sock"), 0o600)
	}
	instances, err := c.instanceOptions(name)
	if err != nil {
		return err
	}
	return os.WriteFile(path, []byte(c.leaseOperatorFile(name, instances)), 0o600)
}

// instanceOptions returns the (instance …) lines of an operator's file. With relays, it gives the address of
// the relay to each other instance in place of that instance's address.
func (c *Cluster) instanceOptions(name string) (string, error) {
	var lines strings.Builder
	for _, other := range c.Names {
		address := c.instances[other].peerAddress
		if c.WithRelays && other != name {
			linkRelay, err := c.relay(Link{From: name, To: other})
			if err != nil {
				return "", err
			}
			address = linkRelay.Address()
		}
		fmt.Fprintf(&lines, "    (instance %s (at \"%s\"))\n", other, address)
	}
	return lines.String(), nil
}

// relay returns the relay of a link. The first call for a link starts the relay.
func (c *Cluster) relay(link Link) (*relay.Relay, error) {
	if started := c.Relays[link]; started != nil {
		return started, nil
	}
	started, err := relay.Start(c.instances[link.To].peerAddress)
	if err != nil {
		return nil, err
	}
	c.Relays[link] = started
	return started, nil
}

// leaseOperatorFile returns the content of an operator's file with which instances share leases and health checks.
func (c *Cluster) leaseOperatorFile(name, instances string) string {
	return fmt.Sprintf(`(socket "%[1]s.sock")
(fleet
  (instances
%[2]s  )
  (voters %[3]s)
  (slots %[4]d) (lease %[5]s) (renewal %[6]s) (drift 1%%)
  (tls (certificate "%[1]s.pem") (key "%[1]s.key") (roots "roots.pem"))
  (allow "127.0.0.0/8")
  %[7]s
  (probe (period %[8]s) (within %[9]s) (cold-part 5%%) (cost 1ms)))
`, name, instances, c.voters, c.Slots, c.LeaseDuration, c.RenewInterval, c.ClusterOptions,
		c.ProbePeriod, c.ProbePeriod/2)
}
