package capacity

import (
	"encoding/json"
	"fmt"
	"os"
)

// Names of the slopes that are fitted to rehearsals of one real proxy, and of their variables and units.
const (
	SlopeProcessMemory      = "Process.rss-B"         // by open sessions
	SlopeProcessDescriptors = "Process.descriptors"   // by open sessions
	SlopeSessionTime        = "ProcessSessions.cpu-s" // of all sessions begun in a rehearsal
	SlopeMessageTime        = "ProcessMessages.cpu-s" // of all messages answered in a rehearsal
	variableSessions        = "sessions"              // open at a time, or begun
	variableMessages        = "messages"              // a message is a line of a client and its answer
	bytesInMB               = 1 << 20                 // rehearsals report memory in MiB
	processorSeconds        = "cpu-s"                 // processor time of the proxy's process, user and system
)

// rehearsal holds the part of a report of `chalkferry rehearse --json` that this package reads.
type rehearsal struct {
	Sessions float64 `json:"sessions"`
	Messages struct {
		Count float64 `json:"n"`
	} `json:"message_ms"`
	Samples []struct {
		Open float64 `json:"open"`
	} `json:"samples"`
	Proxies []struct {
		PeakRSSMB   float64 `json:"peak_rss_mb"`
		Descriptors float64 `json:"descriptors"`
		CPUSeconds  float64 `json:"cpu_seconds"`
	} `json:"proxies"`
}

// FromRehearsals fits slopes to reports of rehearsals with one proxy each. Reports in which the sessions vary give memory,
// descriptors and processor time by sessions; those in which the messages vary give processor time by messages.
func FromRehearsals(bySessions, byMessages []string, origin Origin) ([]*Slope, error) {
	memory := &Slope{Name: SlopeProcessMemory, Unit: "rss-B", Variable: variableSessions}
	descriptors := &Slope{Name: SlopeProcessDescriptors, Unit: "descriptors", Variable: variableSessions}
	sessions := &Slope{Name: SlopeSessionTime, Unit: processorSeconds, Variable: variableSessions}
	messages := &Slope{Name: SlopeMessageTime, Unit: processorSeconds, Variable: variableMessages}
	for _, name := range bySessions {
		r, err := readRehearsal(name)
		if err != nil {
			return nil, err
		}
		openSessions := 0.0
		for _, sample := range r.Samples {
			openSessions = max(openSessions, sample.Open)
		}
		memory.addMinimum(openSessions, r.Proxies[0].PeakRSSMB*bytesInMB)
		descriptors.addMinimum(openSessions, r.Proxies[0].Descriptors)
		sessions.addMinimum(r.Sessions, r.Proxies[0].CPUSeconds)
	}
	for _, name := range byMessages {
		r, err := readRehearsal(name)
		if err != nil {
			return nil, err
		}
		messages.addMinimum(r.Messages.Count, r.Proxies[0].CPUSeconds)
	}
	var slopes []*Slope
	for _, s := range []*Slope{memory, descriptors, sessions, messages} {
		if len(s.Points) == 0 {
			continue
		}
		s.Origin, s.Runs = origin, 1
		if err := s.Fit(); err != nil {
			return nil, err
		}
		slopes = append(slopes, s)
	}
	return slopes, nil
}

// readRehearsal reads the report of a rehearsal with one proxy.
func readRehearsal(name string) (*rehearsal, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	r := &rehearsal{}
	if err := json.Unmarshal(text, r); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	if len(r.Proxies) != 1 {
		return nil, fmt.Errorf("%s: the rehearsal had %d proxies, want 1", name, len(r.Proxies))
	}
	return r, nil
}
