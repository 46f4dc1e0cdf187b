package main

import "time"

// Settings in the form of the simulator's first message, with figures from the ranges of the site files.

type object = map[string]any

// lulea is the deployment of deploy/sites/lulea-depot: lists are pushed, sessions pass through, 300 ms of grace.
func lulea(me, proxies int) object {
	return object{
		"areas": []string{"gammelstad", "notviken"}, "az": 0, "discovery": "push", "groupSize": proxies, "me": me,
		"ceilings": object{"cancel": true, "connIdle": 10000, "connectTimeout": 250, "cpuUsPerRequest": 10, "cpuUsPerS": 8000,
			"maxRetryAfter": 2000, "mostDials": 5, "mostHeld": 1000000, "parallelTries": false, "peers": false, "probes": false,
			"retryAfter": true, "streamsPerConn": 1},
		"clients": object{"marksRetry": false},
		"domain": object{"groups": true, "messageAim": []int{100, 250, 150, 60}, "mode": "pass", "park": 7000, "tellsDelay": true,
			"tellsLoad": false},
		"domainType": "conn",
		"invariants": object{"answerSlack": 8, "cold": 8400, "coldFrom": 0.3, "fallMultiple": 4, "mustAskIn": 0,
			"stopSendingWithin": 300, "tipAfter": 2000},
		"listeners": []object{
			listener("shelf-count", 300, 3000, 2), listener("belt-state", 800, 9600, 1),
			listener("lorry-feed", 800, 6400, 1), listener("picker-task", 300, 4000, 5)},
		"skus":      []string{"birch-4c"},
		"telemetry": object{"fields": []string{}, "how": "off"},
		"tenants":   []object{{"name": "rimfrost", "fraction": 0.5, "quotaRps": 10}, {"name": "norrsken", "fraction": 0.5, "quotaRps": 10}},
		"tick":      5, "tier": 0, "tiers": []string{"depot-hosts"}, "utilityBy": "request", "weights": "rough",
	}
}

// kigali is the deployment of kigali-portal: lists are asked for, sessions pass through, 250 ms of grace.
func kigali(me, proxies int) object {
	settings := lulea(me, proxies)
	settings["areas"], settings["discovery"] = []string{"kigali-nyarugenge", "muhanga"}, "ask"
	settings["ceilings"].(object)["mostDials"] = 6
	settings["domain"].(object)["messageAim"] = []int{100, 250, 150, 60}
	settings["invariants"] = object{"answerSlack": 8, "cold": 8400, "coldFrom": 0.3, "fallMultiple": 4, "mustAskIn": 10000,
		"stopSendingWithin": 250, "tipAfter": 2000}
	settings["listeners"] = []object{
		listener("balance-live", 300, 1200, 2), listener("signal-status", 800, 4800, 1),
		listener("outage-feed", 800, 3200, 1), listener("agent-topup", 300, 1800, 5)}
	settings["tenants"] = []object{{"name": "imirongo", "fraction": 0.5, "quotaRps": 10}, {"name": "akagera-net", "fraction": 0.5, "quotaRps": 10}}
	return settings
}

func listener(name string, target, dialTimeout, utility int) object {
	return object{"name": name, "handshakeTarget": target, "dialTimeout": dialTimeout, "effect": "read_like", "group": "all",
		"repeatWindow": 5000, "stream": true, "overdueUtility": 0, "utility": utility}
}

// config returns a proxy's configuration file without its name and address.
func config(d *discovery, settings object, known list) map[string]any {
	return map[string]any{"discovery": d.address, "seed": "8c1f30d27a5be964", "known": known, "settings": settings,
		"limits": object{"cores": 1.0, "memory_mb": 192, "sockets": 1024}}
}

// graceSlack is what the protocol page adds to each time limit of the rules.
const graceSlack = 50 * time.Millisecond
