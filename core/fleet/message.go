package fleet

// Message is one envelope in the decision core's types; exactly one body is set.
type Message struct {
	Incarnation uint32 `json:"incarnation,omitempty"`
	Stamp       int64  `json:"stamp,omitempty"`  // sender's clock, in milliseconds
	Echo        int64  `json:"echo,omitempty"`   // receiver's stamp last received by the sender, with heartbeats and handovers only; 0 for none
	Echoed      uint32 `json:"echoed,omitempty"` // incarnation of the receiver that Echo belongs to

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
