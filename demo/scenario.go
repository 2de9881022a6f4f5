package demo

import "github.com/bronzeturn/bronzeturn/examples"

// task describes the requests of one kind that an organisation sends repeatedly.
type task struct {
	organisation string
	kind         string
	// weight is the relative share of this task in the steady traffic.
	weight int
	prompt string
	stream bool
	// maxTokens limits the length of the answer. Zero leaves it to the engine.
	maxTokens int
	// withIdempotencyKey gives each request its own idempotency key, which
	// non-idempotent kinds require.
	withIdempotencyKey bool
}

// plainCall is a call of a plain service.
type plainCall struct {
	organisation, service, path, body string
	withIdempotencyKey                bool
}

// scenario describes the traffic and the events of one deployment in the demo.
type scenario struct {
	example string
	// tasks make up the steady traffic.
	tasks []task
	// conversation is sent in turns, one after the other, during the steady
	// traffic.
	conversation task
	turns        int
	// duplicated is a non-idempotent task that is sent to every daemon at the same
	// time with the same idempotency key.
	duplicated task
	services   []plainCall
	// withdrawnVersion is the version that is withdrawn during the steady traffic.
	withdrawnVersion string
	// forbiddenTask requests forbiddenVersion, which its organisation may not use.
	forbiddenTask    task
	forbiddenVersion string
}

// scenarios returns the scenarios of the demo in the order in which they run.
func scenarios() []scenario { return []scenario{campinaVerde(), andina()} }

func campinaVerde() scenario {
	check := "Battery 61%, lock 4 slow after rain. May the rider go on?"
	report := "Controller log: E42 phase current 31 A, E42 phase current 33 A, E17 hall sensor. Write the fault report."
	tag := "Ticket: bike 2207 stops uphill, display shows E42. Tag it."
	return scenario{
		example: examples.CampinaVerde,
		tasks: []task{
			{organisation: "dock-kiosks", kind: "quick", weight: 8, prompt: check, stream: true, maxTokens: 24},
			{organisation: "rider-app", kind: "quick", weight: 6, prompt: check, stream: true, maxTokens: 24},
			{organisation: "mobilidade-eletrica", kind: "tag", weight: 3, prompt: tag, maxTokens: 12, withIdempotencyKey: true},
			{organisation: "oficina-central", kind: "report", weight: 2, prompt: report, stream: true},
			{organisation: "oficina-serra", kind: "report", weight: 1, prompt: report},
			{organisation: "battery-lab", kind: "report", weight: 1, prompt: report},
			{organisation: "depot-porto", kind: "explain", weight: 1, prompt: "Explain the error history of bike 88.", stream: true},
		},
		conversation: task{organisation: "depot-centro", kind: "explain", prompt: "Why did bike 2207 stop again?", stream: true},
		turns:        4,
		duplicated:   task{organisation: "oficina-porto", kind: "tag", prompt: tag, maxTokens: 12},
		services: []plainCall{
			{organisation: "oficina-central", service: "ticket-desk", path: "/open", body: `{"bike":2207}`, withIdempotencyKey: true},
			{organisation: "dock-kiosks", service: "lock-status", path: "/4", body: `{}`},
		},
		withdrawnVersion: "dock-quick@2",
		forbiddenTask:    task{organisation: "dock-kiosks", kind: "report", prompt: report},
		forbiddenVersion: "diag-large@3",
	}
}

func andina() scenario {
	sheet := "Load sheet for truck 14, route Godoy Cruz, please."
	review := "Route 31: 212 crates out, 198 back, cash short by 1,450. Review the settlement."
	reorder := "Kiosk 77 sold 40 crates of cola and 12 of tonic. Draft the reorder note."
	return scenario{
		example: examples.Andina,
		tasks: []task{
			{organisation: "driver-handhelds", kind: "sheet", weight: 6, prompt: sheet, stream: true, maxTokens: 60},
			{organisation: "driver-handhelds", kind: "price", weight: 4, prompt: "Price list of kiosk 77.", stream: true, maxTokens: 30},
			{organisation: "andina-central", kind: "settlement", weight: 3, prompt: review},
			{organisation: "franquicia-godoy", kind: "settlement", weight: 2, prompt: review},
			{organisation: "franquicia-chimbas", kind: "settlement", weight: 1, prompt: review, stream: true},
			{organisation: "franquicia-rawson", kind: "reorder", weight: 2, prompt: reorder, withIdempotencyKey: true},
			{organisation: "crate-yard", kind: "crate-tag", weight: 4, prompt: "Crate 5 of 9: label torn, two bottles missing.", maxTokens: 8},
		},
		conversation: task{organisation: "franquicia-merlo", kind: "settlement", prompt: "Why is route 31 short?", stream: true},
		turns:        4,
		duplicated:   task{organisation: "franquicia-junin", kind: "reorder", prompt: reorder},
		services: []plainCall{
			{organisation: "franquicia-godoy", service: "pallet-orders", path: "/order", body: `{"pallets":2}`, withIdempotencyKey: true},
			{organisation: "driver-handhelds", service: "price-list", path: "/77", body: `{}`},
		},
		withdrawnVersion: "hoja@2",
		forbiddenTask:    task{organisation: "driver-handhelds", kind: "settlement", prompt: review},
		forbiddenVersion: "revision-grande@7",
	}
}
