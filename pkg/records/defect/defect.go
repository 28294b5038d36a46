package defect

// Defect is a part of a stored record that cannot be read, while the rest of the record is in force.
type Defect struct {
	// Key is the store key of the record as its writer knows it.
	Key string
	// Field is the path of the part in the record, such as routes[3].timeout_ms.
	Field string
	// Value is the beginning of what the part holds, as it was written.
	Value string
	// Problem says what is wrong with the value.
	Problem string
	// Effect says what the part costs.
	Effect string
}

// Error returns all of the defect on one line.
func (d Defect) Error() string {
	return d.Key + ": " + d.Field + " is " + d.Value + ", " + d.Problem + ": " + d.Effect
}
