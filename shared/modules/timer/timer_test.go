package timer_test

import (
	"fmt"
	"time"

	"github.com/redwingledge/redwingledge/shared/modules/timer"
)

func ExampleFake() {
	fake := timer.NewFake(time.Unix(0, 0))
	sub := fake.Subscribe("probe", time.Second)
	defer sub.Cancel()

	fake.Advance(1500 * time.Millisecond)
	fmt.Println((<-sub.C).Unix(), fake.Now().UnixMilli())
	// Output: 1 1500
}
