package contrl

import (
	"github.com/balsamvale/balsamvale/pkg/event"
	"github.com/balsamvale/balsamvale/pkg/reply"
	"github.com/balsamvale/balsamvale/pkg/topic"
)

// movers are the moves that this entry drives, by name.
type movers map[string]uint64

func (m movers) reply(reply.Reply) {}

// reverted reports whether an entry has told that a move was taken back.
func (c *Control) reverted(move string) bool {
	return c.rumor.Has(c.now, topic.Reverted, move)
}

// moves drives the moves of the services in this entry's care.
func (c *Control) moves() {}

// judged takes in what the traffic side saw of the versions of a service.
func (c *Control) judged(event.Event) {}
