package caller_test

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/bronzeturn/bronzeturn/caller"
	"github.com/bronzeturn/bronzeturn/caller/callertest"
)

// A program asks for a streamed answer and distinguishes refusals from other errors.
func ExampleClient_Complete() {
	daemon := callertest.NewEntry(callertest.Stream(
		callertest.EventText, callertest.EventFinish, callertest.EventUsage, callertest.EventDone))
	defer daemon.Close()

	client, err := caller.New(caller.Options{Entry: daemon.Address(), Key: "key-dock-kiosks"})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer client.Close()

	question := caller.Prompt("Battery of bike 7?")
	question.Stream = true
	params := caller.Params{Kind: "quick", Deadline: 2 * time.Second}
	answer, err := client.Complete(context.Background(), params, question, func(text string) { fmt.Print(text) })
	var refused *caller.RefusalError
	if errors.As(err, &refused) {
		fmt.Println(refused.Detail.Code, refused.Detail.Ran)
		return
	}
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Printf(" (%d tokens)\n", answer.Usage.Completion)
	// Output: all good (2 tokens)
}
