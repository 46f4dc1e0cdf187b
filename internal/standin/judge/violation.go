package judge

import "fmt"

// Rule is one of the four.
type Rule string

// The rules, by the names that reports have for them.
const (
	SessionLost        Rule = "session lost"
	DuplicateEffect    Rule = "effect twice"
	DrainIgnored       Rule = "drain not kept"
	ColdNodeOverloaded Rule = "cold server pushed over"
)

// maxViolations bounds the list of violations; all are counted.
const maxViolations = 200

// Violation is one broken rule.
type Violation struct {
	Rule    Rule      `json:"rule"`
	Session SessionID `json:"session,omitempty"`
	Node    NodeID    `json:"node"`  // -1 where none is concerned
	Proxy   ProxyID   `json:"proxy"` // -1 where none is concerned
	AtMs    float64   `json:"at_ms"` // since the run's start
	Text    string    `json:"text"`
}

func (v Violation) String() string {
	text := fmt.Sprintf("%.0f ms: %s", v.AtMs, v.Rule)
	if v.Session != "" {
		text += fmt.Sprintf(", session %s", v.Session)
	}
	if v.Node >= 0 {
		text += fmt.Sprintf(", node %d", v.Node)
	}
	if v.Proxy >= 0 {
		text += fmt.Sprintf(", proxy %d", v.Proxy)
	}
	return text + ": " + v.Text
}
