// Package trap catches the signals of a program from its start. Only main packages import it, since
// a signal then ends the program only if the program acts on it.
package trap
