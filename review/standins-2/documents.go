package main

import (
	"embed"
	"encoding/json"
)

// documents are the configuration, the settings file and the names of the platform, in the forms of its pages.
//
//go:embed documents
var documents embed.FS

// document returns the content of a document.
func document(name string) []byte {
	data, err := documents.ReadFile("documents/" + name)
	if err != nil {
		panic(err) // It is part of the program.
	}
	return data
}

// wire holds the platform's names of headers, fields and variables.
var wire = func() (names struct {
	Stamp, Expect, Tokens, Urgency, Prefix, Deadline, ColdLeft, Boot string
}) {
	if err := json.Unmarshal(document("wire.json"), &names); err != nil {
		panic(err) // It is part of the program.
	}
	return names
}()
