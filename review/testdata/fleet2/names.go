package fleet2

import (
	_ "embed"
	"encoding/json"
)

// The platform's names stand in a data file: the project's Go code outside of its adapter doesn't use them.
//
//go:embed names.json
var namesFile []byte

// wire holds the platform's names that the stand-ins speak.
var wire = readNames()

type names struct {
	AttemptID, TokenCount, PrefixHash, Stamp, Load, ExpectInstance, NotExecuted string
	ReadyPath, ReportPath, AppendPath, ReadPath, NewestPath                     string
	OperatorTopic, ServerTopic                                                  string
	// Seeds is the setting that lists some other machines.
	Seeds string
}

func readNames() names {
	var n names
	if err := json.Unmarshal(namesFile, &n); err != nil {
		panic(err) // the file is part of the program
	}
	return n
}
