package recoverer_test

import (
	"errors"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/shared/modules/recoverer"
)

func ExampleRun() {
	var empty []int
	fmt.Println(recoverer.Run(func() { fmt.Println(empty[0]) }))
	fmt.Println(recoverer.Run(func() { fmt.Println("no panic") }))
	// Output:
	// panic: runtime error: index out of range [0] with length 0
	// no panic
	// <nil>
}

func TestErrorCarriesTheStack(t *testing.T) {
	t.Parallel()
	var panicked recoverer.ErrPanic
	require.True(t, errors.As(recoverer.Run(func() { panic("lost") }), &panicked))
	require.Contains(t, string(panicked.Stack), "TestErrorCarriesTheStack")
}
