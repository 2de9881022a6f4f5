package logging

// maxNames limits the names in one list of a log line, since thousands of engines or daemons
// can join or leave a large fleet at once.
const maxNames = 32

// FirstNames returns at most the first maxNames names. Callers should log the total count too.
func FirstNames(names []string) []string { return names[:min(len(names), maxNames)] }
