package lending

// Ask asks for a reservation, or settles one if Settle is set.
type Ask struct {
	_msgpack struct{} `msgpack:",as_array"`

	// Loan names the loan; the borrower chooses it.
	Loan    string
	Account string
	// Tokens is the most that the request can use; when settling, what it used.
	Tokens int64
	// Holds tells that the borrower has a part of the account itself.
	Holds  bool
	Settle bool
}

// Reply answers an ask.
type Reply struct {
	_msgpack struct{} `msgpack:",as_array"`

	// Granted tells that the tokens are reserved, or that the loan is settled.
	Granted bool
}
