package config

import (
	"strconv"
	"strings"
)

// fieldPath is the position of a field. It is formatted only when a problem is found,
// so that checking a valid configuration allocates little.
type fieldPath struct {
	section string
	// index is that of the entry in the section, noIndex for the section itself.
	index int
	field string
	// item is the index in a list field, noIndex for the field itself.
	item     int
	subfield string
}

// noIndex marks an absent index.
const noIndex = -1

// entryPath returns the path of an entry of a section.
func entryPath(section string, i int) fieldPath {
	return fieldPath{section: section, index: i, item: noIndex}
}

// sectionPath returns the path of a section.
func sectionPath(section string) fieldPath {
	return fieldPath{section: section, index: noIndex, item: noIndex}
}

// at returns the path of a field of the entry, or of the list item.
func (p fieldPath) at(field string) fieldPath {
	if p.item != noIndex {
		p.subfield = field
	} else {
		p.field = field
	}
	return p
}

// nth returns the path of an item of a list field.
func (p fieldPath) nth(i int) fieldPath {
	p.item = i
	return p
}

// String returns the path in the form "register.engines[3].versions[0]".
func (p fieldPath) String() string {
	var b strings.Builder
	b.WriteString(p.section)
	writeIndex(&b, p.index)
	if p.field != "" {
		b.WriteString("." + p.field)
	}
	writeIndex(&b, p.item)
	if p.subfield != "" {
		b.WriteString("." + p.subfield)
	}
	return b.String()
}

func writeIndex(b *strings.Builder, i int) {
	if i != noIndex {
		b.WriteString("[" + strconv.Itoa(i) + "]")
	}
}
