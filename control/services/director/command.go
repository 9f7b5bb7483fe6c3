// Package director is the replicated state that entries follow when they route
// flows by tokens: declared routes, announced backend servers, and data centres
// that are taken out. Declarations are in force as soon as they are committed;
// operators who want a plan first use the planner.
package director

import (
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/redwingledge/redwingledge/shared/models/director"
)

// Command is an entry of the replicated log. The types of this file implement
// it.
type Command interface{ isCommand() }

type sealed struct{}

func (sealed) isCommand() {}

// Declare puts a declaration in force if its version is the highest.
type Declare struct {
	sealed      `cbor:"-"`
	Declaration director.Declaration `cbor:"declaration"`
}

// Announcement is what a backend server says about itself. The token and the
// state of Server are assigned by the Machine.
type Announcement struct {
	Server   director.Server `cbor:"server"`
	Draining bool            `cbor:"draining"`
}

// Announce records announcements.
type Announce struct {
	sealed        `cbor:"-"`
	Announcements []Announcement `cbor:"announcements"`
}

// Withdraw records that a backend server has ended.
type Withdraw struct {
	sealed `cbor:"-"`
	Host   string `cbor:"host"`
	// Incarnation is 0 if the backend server did not name it.
	Incarnation uint64 `cbor:"incarnation"`
}

// Expire records leases that were not renewed, and forgets backend servers that
// ended long ago.
type Expire struct {
	sealed `cbor:"-"`
	Lapsed []director.Token `cbor:"lapsed"`
	Forget []director.Token `cbor:"forget"`
}

// TakeOut takes a data centre out or brings it back.
type TakeOut struct {
	sealed     `cbor:"-"`
	DataCentre string `cbor:"data_centre"`
	TakenOut   bool   `cbor:"taken_out"`
}

// Enlist adds an entry to those that share the rate of cold backend servers. Names
// stay, so that the shares never add up to more than the rate.
type Enlist struct {
	sealed `cbor:"-"`
	Entry  string `cbor:"entry"`
}

// commandBody carries one command. Exactly one field is set.
type commandBody struct {
	Declare  *Declare  `cbor:"1,keyasint,omitempty"`
	Announce *Announce `cbor:"2,keyasint,omitempty"`
	Withdraw *Withdraw `cbor:"3,keyasint,omitempty"`
	Expire   *Expire   `cbor:"4,keyasint,omitempty"`
	TakeOut  *TakeOut  `cbor:"5,keyasint,omitempty"`
	Enlist   *Enlist   `cbor:"6,keyasint,omitempty"`
}

var errUnknownCommand = errors.New("the command is of an unknown kind")

// Encode returns the log entry of a command.
func Encode(command Command) ([]byte, error) {
	var body commandBody
	switch c := command.(type) {
	case Declare:
		body.Declare = &c
	case Announce:
		body.Announce = &c
	case Withdraw:
		body.Withdraw = &c
	case Expire:
		body.Expire = &c
	case TakeOut:
		body.TakeOut = &c
	case Enlist:
		body.Enlist = &c
	default:
		return nil, errUnknownCommand
	}
	data, err := cbor.Marshal(body)
	if err != nil {
		return nil, fmt.Errorf("encode %T: %w", command, err)
	}
	return data, nil
}

func decode(data []byte) (Command, error) {
	var body commandBody
	if err := cbor.Unmarshal(data, &body); err != nil {
		return nil, fmt.Errorf("decode a command: %w", err)
	}
	switch {
	case body.Declare != nil:
		return *body.Declare, nil
	case body.Announce != nil:
		return *body.Announce, nil
	case body.Withdraw != nil:
		return *body.Withdraw, nil
	case body.Expire != nil:
		return *body.Expire, nil
	case body.TakeOut != nil:
		return *body.TakeOut, nil
	case body.Enlist != nil:
		return *body.Enlist, nil
	default:
		return nil, errUnknownCommand
	}
}

// goneRetention is how long a backend server that has ended is remembered, so
// that its flows are reset and late announcements are recognised: longer than
// flows last on the platforms that are served (60 s).
const goneRetention = 70 * time.Second
