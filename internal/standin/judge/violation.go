package judge

import "fmt"

// Rule is one of the four rules that a proxy must keep.
type Rule string

// The rules. Their values are the names used in reports.
const (
	SessionLost        Rule = "session lost"
	DuplicateEffect    Rule = "effect twice"
	DrainIgnored       Rule = "drain not kept"
	ColdNodeOverloaded Rule = "cold server pushed over"
)

// maxViolations bounds how many violations are kept in detail; all are counted.
const maxViolations = 200

// Violation is one broken rule.
type Violation struct {
	Rule    Rule      `json:"rule"`
	Session SessionID `json:"session,omitempty"`
	Node    NodeID    `json:"node"`  // -1 if no particular node is concerned
	Proxy   ProxyID   `json:"proxy"` // -1 if no particular proxy is concerned
	AtMs    float64   `json:"at_ms"` // milliseconds since the start of the run
	Text    string    `json:"text"`  // what happened
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
