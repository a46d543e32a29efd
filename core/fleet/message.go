package fleet

// Message is an envelope for one message between routers, in the types of the decision core. Exactly one body is set.
type Message struct {
	Incarnation uint32 `json:"incarnation,omitempty"`
	Stamp       int64  `json:"stamp,omitempty"`  // sender's clock, in milliseconds
	Echo        int64  `json:"echo,omitempty"`   // last stamp of the receiver that the sender received; in heartbeats and handovers only; 0 for none
	Echoed      uint32 `json:"echoed,omitempty"` // incarnation of the receiver to which Echo belongs

	Heartbeat   *Heartbeat   `json:"heartbeat,omitempty"`
	Demand      *Demand      `json:"demand,omitempty"`
	Grants      *Grants      `json:"grants,omitempty"`
	KeyOpen     *KeyOpen     `json:"keyOpen,omitempty"`
	KeyAnswer   *KeyAnswer   `json:"keyAnswer,omitempty"`
	KeyClose    *KeyClose    `json:"keyClose,omitempty"`
	KeyHandover *KeyHandover `json:"keyHandover,omitempty"`
	KeyRecall   *KeyRecall   `json:"keyRecall,omitempty"`
	KeyCopy     *KeyCopy     `json:"keyCopy,omitempty"`
	ConfigAsk   *ConfigAsk   `json:"configAsk,omitempty"`
	ConfigText  *ConfigText  `json:"configText,omitempty"`
	ListText    *ListText    `json:"listText,omitempty"`
}
