package admission

const (
	maxOpen          = 4096 // requests; a few megabytes of a front end's memory
	maxOpenPerClient = 1024 // requests; far more than the viewers behind one connection send at once
)

// TooManyOpen tells whether a request is to be rejected because too many earlier ones have not come to a conclusion yet, given their
// number in total and from the same client. Without a limit, a client that sends requests faster than they are concluded makes the
// memory of the front end grow for as long as the requests' time limit allows.
func TooManyOpen(total, ofClient int) bool { return total >= maxOpen || ofClient >= maxOpenPerClient }
