package lending

// Request asks for a reservation, or settles one if Settle is set.
type Request struct {
	// LoanID names the loan; the borrower chooses it.
	LoanID  string `json:"l,omitempty"`
	Account string `json:"a,omitempty"`
	// Tokens is the most that the request can use; when settling, what it used.
	Tokens int64 `json:"t,omitempty"`
	// HasAllocation tells that the borrower has a part of the account itself.
	HasAllocation bool `json:"h,omitempty"`
	Settle        bool `json:"s,omitempty"`
}

// Reply answers an ask.
type Reply struct {
	// Granted tells that the tokens are reserved, or that the loan is settled.
	Granted bool `json:"g,omitempty"`
	// Lendable is how many tokens of the account the lender could still lend.
	Lendable int64 `json:"s,omitempty"`
}
