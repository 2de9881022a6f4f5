package harness

import (
	"embed"
	"encoding/json"
)

// documents holds the platform's documents and names, as its pages show them.
//
//go:embed documents
var documents embed.FS

// read returns a document.
func read(name string) []byte {
	data, err := documents.ReadFile("documents/" + name)
	if err != nil {
		panic(err) // The file is part of the program.
	}
	return data
}

// decode decodes a document in JSON.
func decode[T any](name string) (value T) {
	if err := json.Unmarshal(read(name), &value); err != nil {
		panic(err) // The file is part of the program.
	}
	return value
}

// Name returns a name that the platform's pages give to something.
func Name(of string) string { return decode[map[string]string]("names.json")[of] }

// Configuration returns one of the configurations: "checks" or "stream".
func Configuration(name string) map[string]any {
	return decode[map[string]any]("config-" + name + ".json")
}

// PromptHeaders returns the headers of a request to a language model, with a key.
func PromptHeaders(key string) map[string]string {
	headers := decode[map[string]string]("prompt-headers.json")
	headers["Authorization"] = "Bearer " + key
	return headers
}

// Registration returns the entry of an engine in the store.
func Registration(service, address, zone string, slots int) map[string]any {
	entry := decode[map[string]any]("engine.json")
	entry["service"], entry["address"], entry["zone"], entry["slots"] = service, address, zone, slots
	return entry
}
