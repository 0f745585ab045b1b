// Package resume is an entry's exchange with other entries of where streams began. It sends
// copies of this entry's records to the entries that hold them, and asks these for the record
// of a stream that a caller resumes here. Package core/origin has the records and the choice
// of the holders.
package resume
