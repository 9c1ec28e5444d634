package lending

// Ask asks for a reservation, or settles one if Settle is set.
type Ask struct {
	// Loan names the loan; the borrower chooses it.
	Loan    string `json:"l,omitempty"`
	Account string `json:"a,omitempty"`
	// Tokens is the most that the request can use; when settling, what it used.
	Tokens int64 `json:"t,omitempty"`
	// Holds tells that the borrower has a part of the account itself.
	Holds  bool `json:"h,omitempty"`
	Settle bool `json:"s,omitempty"`
}

// Reply answers an ask.
type Reply struct {
	// Granted tells that the tokens are reserved, or that the loan is settled.
	Granted bool `json:"g,omitempty"`
	// Spare is how many tokens of the account the lender could still lend.
	Spare int64 `json:"s,omitempty"`
}
